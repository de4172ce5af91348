import { createRecoveryPace, isRecovered, updateRecoveryPace } from '../../policy/recoveryPace.js';
import { computeRunLimit } from '../../policy/runLimit.js';
import type { RequestContext } from './context.js';
import type { Run } from './run.js';
import type { RequestSections } from './sections.js';

/** Interval between checks whether a target without requests has recovered (ms). */
const CHECK_INTERVAL_MS = 1000;

/** Limits the concurrent requests at the local target after it started or recovered. */
export interface TargetRecovery {
  /** Begins to limit the target if it started, was ejected or lifted its rate limit since the last call. */
  followTarget(): void;
  /** Takes the end of a run into account. */
  observeRun(run: Run, isFailure: boolean): void;
}

/** Creates the limit of the local target; writes `recovery` of the runs section. */
export function createTargetRecovery(
  { board, clock }: RequestContext,
  section: RequestSections['runs'],
): TargetRecovery {
  let followedStart = '';
  let followedEjectionMs = 0;
  let hadRateLimit = false;

  const report = (outcome: string, reason: string): void => {
    const { id, slots } = board.read('target');
    const inputs = { target: id, limit: computeRunLimit(slots, section.recovery), slots, reason };
    board.post('decisions', { kind: 'targetChanged', outcome, inputs });
  };
  const scheduleCheck = (): void => {
    clock.schedule(CHECK_INTERVAL_MS, () => {
      endIfRecovered();
      if (section.recovery !== undefined) scheduleCheck();
    });
  };
  const startRecovery = (reason: string): void => {
    const wasRecovering = section.recovery !== undefined;
    section.recovery = createRecoveryPace(computeRunLimit(board.read('target').slots), clock.now());
    if (wasRecovering) return;
    report('recovering', reason);
    scheduleCheck();
  };
  const endIfRecovered = (): void => {
    const { recovery } = section;
    if (recovery === undefined) return;
    if (!isRecovered(recovery, computeRunLimit(board.read('target').slots), clock.now())) return;
    section.recovery = undefined;
    report('recovered', `limit ${Math.floor(recovery.limit)} after its answers`);
  };
  /** Returns the duration of the route's runs at the targets of the service that are known (ms). */
  const readExpectedDuration = ({ request: { service, route } }: Run): number | undefined =>
    board.read('speeds').byService.get(service)?.meanMsByRoute.get(route);
  return {
    followTarget: () => {
      const { id, startedAtMs, coldUntilMs, ejectedUntilMs, ratePerSecond } = board.read('target');
      const start = `${id} ${startedAtMs}`;
      const isNewStart = start !== followedStart && coldUntilMs > clock.now();
      const isNewEjection = ejectedUntilMs > followedEjectionMs;
      const isLifted = hadRateLimit && ratePerSecond === undefined;
      followedStart = start;
      followedEjectionMs = ejectedUntilMs;
      hadRateLimit = ratePerSecond !== undefined;
      if (isNewStart) startRecovery('started');
      else if (isNewEjection) startRecovery('ejected');
      else if (isLifted) startRecovery('rate limit lifted');
      endIfRecovered();
    },
    observeRun: (run, isFailure) => {
      if (section.recovery === undefined) return;
      const nowMs = clock.now();
      updateRecoveryPace(section.recovery, {
        isFailure,
        durationMs: nowMs - run.startedAtMs,
        expectedMs: readExpectedDuration(run),
        startedAtMs: run.startedAtMs,
        nowMs,
      });
      endIfRecovered();
    },
  };
}
