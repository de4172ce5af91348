import { findDeparture, mergeDepartures } from '../../policy/departures.js';
import type { TargetStart } from '../../policy/departures.js';
import { compareHeartbeats, isReplacing, isSameStart } from '../../policy/heartbeatOrder.js';
import type { Departure, Heartbeat } from '../../schema/nodeMember.js';
import type { RequestContext } from './context.js';
import { createStartSet } from './startSet.js';
import type { TargetState } from './targetState.js';

/** Time for which the messages of a start that was replaced may still arrive (ms). */
const LATE_MESSAGE_MS = 5000;

/** What this node has learned of the starts of targets at its host. */
export interface TargetStarts {
  /** True if a heartbeat is the next one of the target in place, or takes its place. */
  isNext(id: string, heartbeat: Heartbeat): boolean;
  /** Notes that another target takes the place of the one in the section. */
  recordReplaced(): void;
  /** Notes that another target answered at the address of this one; returns false if that was known. */
  recordRefuted(id: string, startedAtMs: number): boolean;
  /** Notes that the target in place answered a request. */
  recordAnswer(): void;
  /** Notes that a start leaves, which is not the one in place; returns false if that was known. */
  recordDeparture(start: TargetStart, phase: Departure['phase']): boolean;
  /** Returns the departures that have not been published yet; the caller publishes them. */
  takeDepartures(): readonly Departure[];
  /** Returns the departure of a start, as this or an earlier process of this node learned of it. */
  findDeparture(start: TargetStart): Departure | undefined;
  /** True while a leave that names no start time may come late from a start that was replaced by one with the same id. */
  mayLeaveLate(id: string): boolean;
}

/**
 * Creates the memory of starts beside the section of the local target.
 *
 * @example
 * const starts = createTargetStarts(context, section);
 * if (!starts.isNext(id, heartbeat)) return;
 */
export function createTargetStarts({ board, clock }: RequestContext, section: Readonly<TargetState>): TargetStarts {
  const refuted = createStartSet();
  let unpublished: Departure[] | undefined;
  let replaced = { id: '', atMs: -Infinity };

  const find = (start: TargetStart): Departure | undefined =>
    findDeparture(unpublished, start) ?? findDeparture(board.read('members').self.departures as Departure[], start);
  const recordDeparture = ({ id, startedAtMs }: TargetStart, phase: Departure['phase']): boolean => {
    const known = find({ id, startedAtMs });
    if (known !== undefined && (known.phase === 'left' || phase === 'draining')) return false;
    unpublished = mergeDepartures(unpublished, [{ id, startedAtMs, phase, atMs: clock.wallTime() }]);
    return true;
  };
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
      if (phase === 'draining' || phase === 'left') recordDeparture({ id, startedAtMs }, phase);
      else replaced = { id, atMs: clock.now() };
    },
    recordRefuted: (id, startedAtMs) => {
      if (refuted.has(id, startedAtMs)) return false;
      refuted.add(id, startedAtMs);
      return true;
    },
    recordAnswer: () => {
      refuted.delete(section.id, section.startedAtMs);
    },
    recordDeparture,
    takeDepartures: () => {
      const departures = unpublished ?? [];
      unpublished = undefined;
      return departures;
    },
    findDeparture: (start) => {
      const known = find(start);
      if (known !== undefined) return known;
      const { previousTarget } = board.read('members');
      if (previousTarget === undefined || !isSameStart(previousTarget, start.id, start.startedAtMs)) return undefined;
      const { phase } = previousTarget;
      return phase === 'draining' || phase === 'left' ? { ...start, phase, atMs: clock.wallTime() } : undefined;
    },
    mayLeaveLate: (id) => replaced.id === id && clock.now() - replaced.atMs < LATE_MESSAGE_MS,
  };
}
