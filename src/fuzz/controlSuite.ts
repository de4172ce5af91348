import * as fc from 'fast-check';
import { controlRun } from './controlActions.js';
import { runControlActions } from './runControlActions.js';

export interface ControlSuiteOptions {
  seed: number;
  runs: number;
  /** fast-check path of a failing run, as printed in its report, to replay only that run. */
  path?: string;
}

export interface ControlSuiteReport {
  runs: number;
  /** The smallest failing case with its error; undefined if all cases pass. */
  failure: string | undefined;
}

/**
 * Checks the invariant I8 of docs/design.md on random sequences of publishes, faults and waits. The `control` suite is the
 * one for the publishing of configuration: no version reverts, nodes do not decide differently about a change, no accepted
 * change is lost, and all nodes agree once all faults have ended.
 *
 * @example
 * const report = runControlSuite({ seed: 1, runs: 100 });
 */
export function runControlSuite(options: ControlSuiteOptions): ControlSuiteReport {
  const { seed, runs, path } = options;
  const result = fc.check(fc.property(controlRun, runControlActions), {
    seed,
    numRuns: runs,
    ...(path === undefined ? {} : { path }),
  });
  return {
    runs: result.numRuns,
    failure: result.failed ? `${String(result.errorInstance)}\n${fc.defaultReportMessage(result)}` : undefined,
  };
}
