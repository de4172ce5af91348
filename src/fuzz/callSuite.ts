import * as fc from 'fast-check';
import { callCommands } from './callCommands.js';
import { createCallSystem, FUZZ_HOSTS } from './callSystem.js';
import type { FuzzSend } from './callOracle.js';

export interface FuzzOptions {
  seed: number;
  runs: number;
  /** fast-check path of a failing run, as printed in its report, to replay only that run. */
  path?: string;
}

export interface FuzzReport {
  runs: number;
  /** The smallest failing case with its error; undefined if all cases pass. */
  failure: string | undefined;
}

const MAX_SEED = 2 ** 31 - 1;
const systemSeed = fc.integer({ min: 1, max: MAX_SEED });
const LOAD_MS = 3000;

/**
 * Checks the invariants I1 and I3 to I7 of docs/design.md on random sequences of calls and faults.
 *
 * @example
 * const { failure } = runCallSuite({ seed: 1, runs: 100 });
 */
export function runCallSuite({ seed, runs, path }: FuzzOptions): FuzzReport {
  const property = fc.property(systemSeed, callCommands, (chosen, commands) => {
    const system = createCallSystem(chosen);
    fc.modelRun(() => ({ model: {}, real: system }), commands);
    system.finish();
  });
  return buildReport(fc.check(property, { seed, numRuns: runs, ...(path === undefined ? {} : { path }) }));
}

/**
 * Checks the invariant I2 (shed order) of docs/design.md on random mixed loads beyond the capacity of a fleet without
 * faults.
 */
export function runLoadSuite({ seed, runs, path }: FuzzOptions): FuzzReport {
  const load = fc.record({ ordersPerMs: fc.integer({ min: 0, max: 3 }), browsesPerMs: fc.integer({ min: 1, max: 6 }) });
  const property = fc.property(systemSeed, load, (chosen, { ordersPerMs, browsesPerMs }) => {
    const system = createCallSystem(chosen);
    const sends: FuzzSend[] = [];
    const add = (operation: 'order' | 'browse', count: number, tick: number): void => {
      for (let item = 0; item < count; item++) {
        const sent = system.sendNew(FUZZ_HOSTS[(tick + item) % FUZZ_HOSTS.length] ?? '', operation, {
          hasTicket: false,
        });
        if (sent !== undefined) sends.push(sent);
      }
    };
    for (let tick = 0; tick < LOAD_MS; tick++) {
      add('order', ordersPerMs, tick);
      add('browse', browsesPerMs, tick);
      system.fleet.clock.advance(1);
    }
    system.finish();
    system.oracle.checkShedOrder(sends);
  });
  return buildReport(fc.check(property, { seed, numRuns: runs, ...(path === undefined ? {} : { path }) }));
}

function buildReport<T>(result: fc.RunDetails<T>): FuzzReport {
  const failure = result.failed ? `${String(result.errorInstance)}\n${fc.defaultReportMessage(result)}` : undefined;
  return { runs: result.numRuns, failure };
}
