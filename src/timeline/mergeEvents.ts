import { compareHybridTimes } from '../core/hybridClock.js';
import type { TimelineEvent } from '../schema/event.js';

/** The events of one process, with the host and data centre where it runs. */
export interface EventSource {
  host: string;
  dataCenter: string;
  events: readonly TimelineEvent[];
}

/** Conditions on the fields of an event; an absent field matches all events. */
export interface EventFilter {
  requestId?: string;
  service?: string;
  host?: string;
  kind?: string;
}

/**
 * Merges the events of all processes in the order of the hybrid clock; events of one process keep their order.
 *
 * @example
 * const events = mergeEvents(sources, { service: 'depot-stock' });
 */
export function mergeEvents(sources: readonly EventSource[], filter: EventFilter = {}): TimelineEvent[] {
  const events = sources.flatMap((source) => source.events.filter((event) => isSelected(event, filter)));
  // The sort is stable, so equal times of different processes keep the order of the sources.
  return events.sort((left, right) => compareHybridTimes(left.time, right.time));
}

/** Returns true if an event matches a filter. */
export function isSelected(event: TimelineEvent, filter: EventFilter): boolean {
  if (filter.requestId !== undefined && event.requestId !== filter.requestId) return false;
  if (filter.service !== undefined && event.service !== filter.service) return false;
  if (filter.host !== undefined && event.host !== filter.host) return false;
  return filter.kind === undefined || event.kind === filter.kind;
}
