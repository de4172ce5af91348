import * as fc from 'fast-check';
import { controlRun } from './controlActions.js';
import { runControlModel } from './controlModel.js';

export interface ControlSuiteOptions {
  seed: number;
  runs: number;
  /** Replays one case of an earlier report. */
  path?: string;
}

export interface ControlSuiteReport {
  runs: number;
  /** The shortest failing case with its message; undefined when all cases hold. */
  failure: string | undefined;
}

/**
 * Checks I8 on random sequences of publishing, faults and time: nothing reverts, no two decisions about one change, no
 * accepted change is lost, and all nodes agree once the links are back.
 *
 * @example
 * const report = runControlSuite({ seed: 1, runs: 100 });
 */
export function runControlSuite(options: ControlSuiteOptions): ControlSuiteReport {
  const { seed, runs, path } = options;
  const result = fc.check(fc.property(controlRun, runControlModel), {
    seed,
    numRuns: runs,
    ...(path === undefined ? {} : { path }),
  });
  return {
    runs: result.numRuns,
    failure: result.failed ? `${String(result.errorInstance)}\n${fc.defaultReportMessage(result)}` : undefined,
  };
}
