import * as fc from 'fast-check';
import { callCommands } from './callCommands.js';
import { createCallSystem, FUZZ_HOSTS } from './callSystem.js';
import type { FuzzSend } from './callOracle.js';

export interface FuzzOptions {
  seed: number;
  runs: number;
  /** Replays one case of an earlier report. */
  path?: string;
}

export interface FuzzReport {
  runs: number;
  /** The shortest failing case with its message; undefined when all cases hold. */
  failure: string | undefined;
}

const MAX_SEED = 2 ** 31 - 1;
const worldSeed = fc.integer({ min: 1, max: MAX_SEED });
const LOAD_MS = 3000;

/**
 * Checks I1 and I3 to I7 on random sequences of calls and faults, and I2 on random loads.
 *
 * @example
 * const { failure } = runCallSuite({ seed: 1, runs: 100 });
 */
export function runCallSuite({ seed, runs, path }: FuzzOptions): FuzzReport {
  const property = fc.property(worldSeed, callCommands, (chosen, commands) => {
    const world = createCallSystem(chosen);
    fc.modelRun(() => ({ model: {}, real: world }), commands);
    world.finish();
  });
  return buildReport(fc.check(property, { seed, numRuns: runs, ...(path === undefined ? {} : { path }) }));
}

/** Checks I2: a mixed load beyond the capacity of a healthy fleet. */
export function runLoadSuite({ seed, runs, path }: FuzzOptions): FuzzReport {
  const load = fc.record({ ordersPerMs: fc.integer({ min: 0, max: 3 }), browsesPerMs: fc.integer({ min: 1, max: 6 }) });
  const property = fc.property(worldSeed, load, (chosen, { ordersPerMs, browsesPerMs }) => {
    const world = createCallSystem(chosen);
    const sends: FuzzSend[] = [];
    const add = (operation: 'order' | 'browse', count: number, tick: number): void => {
      for (let item = 0; item < count; item++) {
        const sent = world.sendNew(FUZZ_HOSTS[(tick + item) % FUZZ_HOSTS.length] ?? '', operation, {
          hasTicket: false,
        });
        if (sent !== undefined) sends.push(sent);
      }
    };
    for (let tick = 0; tick < LOAD_MS; tick++) {
      add('order', ordersPerMs, tick);
      add('browse', browsesPerMs, tick);
      world.fleet.clock.advance(1);
    }
    world.finish();
    world.oracle.checkShedOrder(sends);
  });
  return buildReport(fc.check(property, { seed, numRuns: runs, ...(path === undefined ? {} : { path }) }));
}

function buildReport<T>(result: fc.RunDetails<T>): FuzzReport {
  const failure = result.failed ? `${String(result.errorInstance)}\n${fc.defaultReportMessage(result)}` : undefined;
  return { runs: result.numRuns, failure };
}
