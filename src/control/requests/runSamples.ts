import type { Clock } from '../../core/clock.js';
import { addDuration, createDurationEstimate } from '../../policy/durationEstimate.js';
import { addResult } from '../../policy/failureShare.js';
import type { Run } from './run.js';
import type { RequestSections } from './sections.js';

/** Measures the results and durations of the runs at the local target. */
export interface RunSamples {
  addFailure(isFailure: boolean): void;
  /** Counts whether the target took a request. */
  addServed(isServed: boolean): void;
  /** Counts a call that left the queue without its turn. New requests wait behind calls, so they say nothing of these. */
  addMissedTurn(run: Run): void;
  addDuration(run: Run, durationMs: number): void;
  /**
   * Counts a run that ended without an answer if it already took longer than most. Without it, a target too slow for its
   * callers to wait would be known only by its fastest runs.
   */
  addUnanswered(run: Run): void;
}

/** Creates the measurements that are part of the section of the run controller. */
export function createRunSamples(section: RequestSections['runs'], clock: Clock): RunSamples {
  const { duration, durationByRoute } = section;

  const addServed = (isServed: boolean): void => {
    addResult(section.unserved, !isServed, clock.now());
  };
  const addDurationSample = ({ route }: Run, durationMs: number): void => {
    const nowMs = clock.now();
    addDuration(duration, durationMs, nowMs);
    let routeDuration = durationByRoute.get(route);
    if (routeDuration === undefined) durationByRoute.set(route, (routeDuration = createDurationEstimate()));
    addDuration(routeDuration, durationMs, nowMs);
  };
  return {
    addFailure: (isFailure) => {
      addResult(section.failures, isFailure, clock.now());
    },
    addServed,
    addMissedTurn: ({ isStarted }) => {
      if (isStarted) addServed(false);
    },
    addDuration: addDurationSample,
    addUnanswered: (run) => {
      const durationMs = clock.now() - run.startedAtMs;
      const meanMs = durationByRoute.get(run.route)?.meanMs ?? Infinity;
      if (durationMs > meanMs) addDurationSample(run, durationMs);
    },
  };
}
