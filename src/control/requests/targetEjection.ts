import { isSameStart } from '../../policy/heartbeatOrder.js';
import type { RequestContext } from './context.js';
import type { TargetState } from './targetState.js';

/** Time for which a target that refused connections or stopped answering is ejected (ms). */
const EJECTION_MS = 400;
/** Minimum time between two probes of a target (ms). */
const MIN_PROBE_INTERVAL_MS = 200;
/** Number of missed heartbeat periods after which an ejected target is removed. */
const MISSED_HEARTBEATS = 4;

/** Keeps a local target that does not work out of use. */
export interface TargetEjection {
  /** Takes the target out of use for a while; `isDown` tells that nothing listens at its address. */
  eject(reason: string, isDown: boolean): void;
  /** Takes the target into use again, as it answered. */
  restore(): void;
  /** Checks with a new connection whether the target crashed, after a connection to it was lost. */
  probe(): void;
}

/** Creates the part of the target's state that concerns its ejection; calls `remove` when it has ended without a leave. */
export function createTargetEjection(
  { board, clock, io }: RequestContext,
  options: { section: TargetState; publishChange: () => void; remove: (reason: string) => void },
): TargetEjection {
  const { section, publishChange, remove } = options;
  let probedAtMs = -Infinity;

  const report = (outcome: string, inputs: Record<string, string>): void => {
    board.post('decisions', { kind: 'targetChanged', outcome, inputs });
  };
  const checkHeartbeats = (): void => {
    const { heartbeatMs } = board.read('settings').current;
    const sinceHeartbeatMs = clock.now() - section.lastHeartbeatMs;
    if (section.phase !== 'ready' || sinceHeartbeatMs < MISSED_HEARTBEATS * heartbeatMs) return;
    remove(`no heartbeat for ${Math.round(sinceHeartbeatMs)} ms`);
  };
  const eject = (reason: string, isDown: boolean): void => {
    const wasEjected = section.ejectedUntilMs !== 0;
    section.ejectedUntilMs = clock.now() + EJECTION_MS;
    if (!wasEjected) report('ejected', { target: section.id, reason });
    if (isDown) board.post('quarantine', { type: 'targetCrashed', targetId: section.id });
    checkHeartbeats();
    publishChange();
  };
  return {
    eject,
    restore: () => {
      if (section.ejectedUntilMs === 0) return;
      section.ejectedUntilMs = 0;
      report('answers again', { target: section.id });
      publishChange();
    },
    probe: () => {
      const nowMs = clock.now();
      if (nowMs < probedAtMs + MIN_PROBE_INTERVAL_MS || section.address === '') return;
      probedAtMs = nowMs;
      const { id, startedAtMs } = section;
      io.probeTarget(section.address, (isUp) => {
        if (!isUp && isSameStart(section, id, startedAtMs)) eject('refuses connections', true);
      });
    },
  };
}
