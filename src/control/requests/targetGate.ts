import { changeRate, computeGateWait, createRateGate, takeToken } from '../../policy/rateGate.js';
import type { RequestContext } from './context.js';
import type { RequestSections, Run } from './sections.js';

/** Interval between checks whether requests that wait at the gate still start in time (ms). */
const QUEUE_CHECK_INTERVAL_MS = 100;

/** The start of requests at a target that named the rate at which it takes them. */
export interface TargetGate {
  /** Takes over the rate that the target names now. */
  updateRate(): void;
  /** True if a request may start now, which uses up its turn; otherwise `startQueued` is called when one may. */
  admitNext(): boolean;
  /** Returns how long a new request would wait for the gate (ms) if that is too long to be of use; undefined otherwise. */
  findUselessWait(run: Run): number | undefined;
  /** Removes the waiting requests that would start too late, and returns them. */
  takeUseless(): Run[];
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
  const findUselessWait = (run: Run): number | undefined => {
    if (section.gate === undefined) return undefined;
    const nowMs = clock.now();
    const waitMs = computeGateWait(section.gate, queue.countAhead(run.priority), nowMs);
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
    findUselessWait,
    takeUseless: () => {
      const nowMs = clock.now();
      if (section.gate === undefined || nowMs - checkedAtMs < QUEUE_CHECK_INTERVAL_MS) return [];
      checkedAtMs = nowMs;
      const useless: Run[] = [];
      for (const run of queue.takeAll()) {
        if (findUselessWait(run) === undefined) queue.add(run);
        else useless.push(run);
      }
      return useless;
    },
  };
}
