import { compareHeartbeats, isReplacing, isSameStart } from '../../policy/heartbeatOrder.js';
import type { Heartbeat } from '../../schema/nodeMember.js';
import { createStartSet } from './startSet.js';
import type { TargetState } from './targetState.js';

/** What this process has learned of the starts of targets at its host. */
export interface TargetStarts {
  /** True if a heartbeat is the next one of the target in place, or takes its place. */
  isNext(id: string, heartbeat: Heartbeat): boolean;
  /** Notes that another target takes the place of the one in the section. */
  recordReplaced(): void;
  /** Notes that another target answered at the address of this one; returns false if that was known. */
  recordRefuted(id: string, startedAtMs: number): boolean;
  /** Notes that the target in place answered a request. */
  recordAnswer(): void;
  /** True if the target was leaving when another one took its place. */
  wasLeaving(id: string, startedAtMs: number): boolean;
}

/**
 * Creates the memory of starts beside the section of the local target.
 *
 * @example
 * const starts = createTargetStarts(section);
 * if (!starts.isNext(id, heartbeat)) return;
 */
export function createTargetStarts(section: Readonly<TargetState>): TargetStarts {
  const refuted = createStartSet();
  const departed = createStartSet();
  return {
    isNext: (id, heartbeat) => {
      const order = compareHeartbeats(heartbeat, section);
      if (isSameStart(section, id, heartbeat.startedAtMs)) return order > 0;
      return isReplacing({
        order,
        wasRefuted: refuted.has(id, heartbeat.startedAtMs),
        isPresentRefuted: refuted.has(section.id, section.startedAtMs),
        isPresentEjected: section.ejectedUntilMs !== 0,
      });
    },
    recordReplaced: () => {
      const { phase, id, startedAtMs } = section;
      if (phase === 'draining' || phase === 'left') departed.add(id, startedAtMs);
    },
    recordRefuted: (id, startedAtMs) => {
      if (refuted.has(id, startedAtMs)) return false;
      refuted.add(id, startedAtMs);
      return true;
    },
    recordAnswer: () => {
      refuted.delete(section.id, section.startedAtMs);
    },
    wasLeaving: (id, startedAtMs) => departed.has(id, startedAtMs),
  };
}
