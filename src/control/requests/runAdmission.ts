import type { RunFailureKind, RunRequest } from '../../schema/linkFrame.js';
import type { RequestContext } from './context.js';
import { readAdvertisedPhase, readRunLimit } from './localLoad.js';
import type { ArrivalVerdict, Run } from './run.js';
import type { RequestSections } from './sections.js';
import type { TargetGate } from './targetGate.js';

/** Why a request is not taken at the node of its target. */
export interface RunRefusal {
  readonly kind: RunFailureKind;
  readonly detail: string;
  /** Time until there is room again (ms), where it is known. */
  readonly roomMs?: number;
}

/** Refusal of a request that crashed its targets before. */
export const quarantined: RunRefusal = {
  kind: 'quarantined',
  detail: 'requests with this fingerprint crash their targets',
};

/** Decides whether a request is taken at the node of its target. */
export interface RunAdmission {
  /** Finds a reason not to run a request at the local target at all. */
  findTargetRefusal(request: RunRequest, verdict: ArrivalVerdict): RunRefusal | undefined;
  /** Finds a reason not to queue a request: its turn would come too late. */
  findWaitRefusal(run: Run): RunRefusal | undefined;
}

/**
 * Creates the admission of requests at the local target.
 *
 * @example
 * const refusal = admission.findTargetRefusal(request, verdict);
 * if (refusal !== undefined) refuse(events, refusal);
 */
export function createRunAdmission(
  { board, clock }: RequestContext,
  { section, gate }: { section: RequestSections['runs']; gate: TargetGate },
): RunAdmission {
  const { queue, running, duration } = section;

  /** Estimates how long a new request would wait for a slot (ms); 0 if none waits before it. */
  const estimateSlotWait = (run: Run): number => {
    const limit = readRunLimit(board);
    return running.size < limit ? 0 : (queue.countAhead(run) / limit) * duration.meanMs;
  };
  return {
    findTargetRefusal: (request, verdict) => {
      const { service, id } = board.read('target');
      const phase = readAdvertisedPhase(board, clock.now());
      if (service !== request.service || phase === 'none' || phase === 'left')
        return { kind: 'noTarget', detail: `the target ${id} is ${phase} and serves ${service}` };
      if (phase === 'draining') return { kind: 'leaving', detail: `the target ${id} is leaving` };
      if (verdict === 'refuse') return quarantined;
      if (verdict === 'wait') {
        const detail = `the target ${id} already runs a request that is suspected of crashing targets`;
        return { kind: 'queueFull', detail };
      }
      return undefined;
    },
    findWaitRefusal: (run) => {
      const waitMs = gate.findExcessiveWait(run);
      if (waitMs !== undefined) {
        const { id, ratePerSecond } = board.read('target');
        const detail = `the target ${id} takes ${ratePerSecond ?? 0} requests/s, a wait of ${Math.round(waitMs)} ms`;
        return { kind: 'queueFull', detail, roomMs: waitMs };
      }
      const slotWaitMs = estimateSlotWait(run);
      if (slotWaitMs <= 0 || clock.now() + slotWaitMs + run.costMs <= run.deadlineAtMs) return undefined;
      const detail = `${queue.length} requests wait, which takes ${Math.round(slotWaitMs)} ms`;
      return { kind: 'queueFull', detail, roomMs: slotWaitMs };
    },
  };
}
