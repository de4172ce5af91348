import * as fc from 'fast-check';
import { controlRun } from './controlActions.js';
import { runControlModel } from './controlModel.js';

export interface ControlSuiteOptions {
  seed: number;
  runs: number;
  /** Path of a failing case in an earlier report, to replay only that case. */
  path?: string;
}

export interface ControlSuiteReport {
  runs: number;
  /** The smallest failing case with its error; undefined if all cases pass. */
  failure: string | undefined;
}

/**
 * Checks the invariant I8 on random sequences of publishing, faults and time: no version reverts, nodes do not decide
 * differently about a change, no accepted change is lost, and all nodes agree once all faults have ended.
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
