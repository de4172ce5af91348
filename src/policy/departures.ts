import type { Departure, PublishedTarget, TargetPhase } from '../schema/nodeMember.js';

/** Number of starts that are remembered: a host has one target at a time, and each new start of it takes seconds. */
const MAX_DEPARTURES = 16;
/** Maximum total length of their ids, which keeps the records of members small. */
const MAX_ID_CHARACTERS = 600;
/** Time for which a start is remembered after its leave (ms); its messages arrive seconds late. */
const MAX_AGE_MS = 600_000;

/** One start of a target. */
export type TargetStart = Pick<PublishedTarget, 'id' | 'startedAtMs'>;

/** Order of the phases of one start of a target: it may leave, but not come back. */
const leavingRanks: Record<TargetPhase, number> = { none: 0, ready: 0, draining: 1, left: 2 };

/**
 * True when a target in the first phase has come further in leaving than in the second.
 *
 * @example
 * isFurtherLeaving('left', 'draining'); // true
 */
export function isFurtherLeaving(phase: TargetPhase, than: TargetPhase): boolean {
  return leavingRanks[phase] > leavingRanks[than];
}

/**
 * Returns the phase that has come furthest in leaving, the first one if none has begun to leave.
 *
 * @example
 * findFurthestPhase(['ready', 'left', 'draining']); // 'left'
 */
export function findFurthestPhase(phases: readonly [TargetPhase, ...TargetPhase[]]): TargetPhase {
  return phases.reduce((furthest, phase) => (isFurtherLeaving(phase, furthest) ? phase : furthest));
}

/**
 * Returns the departure that covers a start: its own, or that of a later start of the same id.
 *
 * @example
 * findDeparture([{ id: 'i-1', startedAtMs: 2000, phase: 'left', atMs: 9000 }], { id: 'i-1', startedAtMs: 1000 });
 */
export function findDeparture(
  departures: readonly Departure[] | undefined,
  { id, startedAtMs }: TargetStart,
): Departure | undefined {
  return departures?.find((departure) => departure.id === id && startedAtMs <= departure.startedAtMs);
}

/**
 * Merges two lists of departures, with one entry per id, oldest first and bounded in number, length and age. Returns `current`
 * if the other one says nothing new.
 *
 * @example
 * updateSelf({ departures: mergeDepartures(self.departures, record.departures) });
 */
export function mergeDepartures(
  current: Departure[] | undefined,
  other: readonly Departure[] | undefined,
): Departure[] | undefined {
  const news = other?.filter((departure) => isNews(departure, current)) ?? [];
  if (news.length === 0) return current;
  const ids = new Set(news.map(({ id }) => id));
  const kept = current?.filter(({ id }) => !ids.has(id)) ?? [];
  const merged = limitDepartures([...kept, ...news].sort(compareDepartures));
  return current !== undefined && isSameList(merged, current) ? current : merged;
}

function isNews(departure: Departure, current: readonly Departure[] | undefined): boolean {
  const known = findDeparture(current, departure);
  if (known === undefined) return true;
  return known.startedAtMs === departure.startedAtMs && isFurtherLeaving(departure.phase, known.phase);
}

function compareDepartures(left: Departure, right: Departure): number {
  return left.atMs - right.atMs || (left.id < right.id ? -1 : 1);
}

/** Drops the oldest ones beyond the bounds. */
function limitDepartures(departures: readonly Departure[]): Departure[] {
  const newestAtMs = departures.at(-1)?.atMs ?? 0;
  const recent = departures.filter(({ atMs }) => newestAtMs - atMs <= MAX_AGE_MS).slice(-MAX_DEPARTURES);
  let characters = recent.reduce((sum, { id }) => sum + id.length, 0);
  while (characters > MAX_ID_CHARACTERS) characters -= recent.shift()?.id.length ?? 0;
  return recent;
}

function isSameList(left: readonly Departure[], right: readonly Departure[]): boolean {
  return left.length === right.length && left.every((departure, index) => departure === right[index]);
}
