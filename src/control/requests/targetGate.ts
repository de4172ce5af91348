import { changeRate, computeGateWait, createRateGate, takeToken } from '../../policy/rateGate.js';
import type { RequestContext } from './context.js';
import type { Run } from './run.js';
import type { RequestSections } from './sections.js';

/** Interval between checks whether queued requests still start in time (ms). */
const QUEUE_CHECK_INTERVAL_MS = 100;

/** Limits the rate at which requests start at a target that named one. Without a named rate it lets all of them start. */
export interface TargetGate {
  /** Applies the rate that the target section holds now. */
  updateRate(): void;
  /** True if a request may start now, which takes a token; otherwise schedules `startQueued` for the next token. */
  admitNext(): boolean;
  /**
   * Returns the time that a new request would wait for a token (ms) if its answer would then come too late for its full
   * worth, or after its deadline where it is late already; undefined otherwise.
   */
  findExcessiveWait(run: Run): number | undefined;
  /** Removes the queued requests whose wait has become excessive, and returns them. */
  takeTooLate(): Run[];
}

/** Creates the gate in front of the local target. */
export function createTargetGate(
  { board, clock }: RequestContext,
  options: { section: RequestSections['runs']; startQueued: () => void },
): TargetGate {
  const { section } = options;
  const { queue, duration } = section;
  let followedRate: number | undefined;
  let isScheduled = false;
  let checkedAtMs = -Infinity;

  const scheduleStart = (): void => {
    if (isScheduled || section.gate === undefined) return;
    isScheduled = true;
    clock.schedule(Math.ceil(computeGateWait(section.gate, 0, clock.now())), () => {
      isScheduled = false;
      options.startQueued();
    });
  };
  const findExcessiveWait = (run: Run): number | undefined => {
    if (section.gate === undefined) return undefined;
    const nowMs = clock.now();
    const waitMs = computeGateWait(section.gate, queue.countAhead(run), nowMs);
    const usefulUntilMs = run.worthUntilMs > nowMs ? run.worthUntilMs : run.deadlineAtMs;
    return nowMs + waitMs + duration.meanMs > usefulUntilMs && waitMs > 0 ? waitMs : undefined;
  };
  return {
    updateRate: () => {
      const { ratePerSecond } = board.read('target');
      if (ratePerSecond === followedRate) return;
      followedRate = ratePerSecond;
      checkedAtMs = -Infinity;
      if (ratePerSecond === undefined) section.gate = undefined;
      else if (section.gate === undefined) section.gate = createRateGate(ratePerSecond, clock.now());
      else changeRate(section.gate, ratePerSecond, clock.now());
    },
    admitNext: () => {
      if (section.gate === undefined || takeToken(section.gate, clock.now())) return true;
      scheduleStart();
      return false;
    },
    findExcessiveWait,
    takeTooLate: () => {
      const nowMs = clock.now();
      if (section.gate === undefined || nowMs - checkedAtMs < QUEUE_CHECK_INTERVAL_MS) return [];
      checkedAtMs = nowMs;
      const tooLate: Run[] = [];
      for (const run of queue.takeAll()) {
        if (findExcessiveWait(run) === undefined) queue.add(run);
        else tooLate.push(run);
      }
      return tooLate;
    },
  };
}
