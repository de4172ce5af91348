import type { TimelineEvent } from '../schema/event.js';

const HOST_COLUMN = 20;
const KIND_COLUMN = 20;
const TIME_COLUMN = 17;

/**
 * Formats one event as a line of text.
 *
 * @example
 * formatEvent(event); // 09:15:02.113+0 d1-depot-stock-1  callRefused  depot-stock/list (browse) failure=shed
 */
export function formatEvent(event: TimelineEvent): string {
  const { time, host, kind, requestId, data } = event;
  const clock = `${new Date(time.wallMs).toISOString().slice(11, 23)}+${time.counter}`;
  const fields = Object.entries(data ?? {}).map(([name, value]) => `${name}=${formatValue(value)}`);
  const request = requestId === undefined ? '' : `request=${requestId}`;
  const text = [formatSubject(event), request, ...fields].filter((part) => part !== '').join(' ');
  return `${clock.padEnd(TIME_COLUMN)} ${host.padEnd(HOST_COLUMN)} ${kind.padEnd(KIND_COLUMN)} ${text}`.trimEnd();
}

function formatSubject({ service, operation, priority }: TimelineEvent): string {
  if (service === undefined) return '';
  return `${service}${operation === undefined ? '' : `/${operation}`}${priority === undefined ? '' : ` (${priority})`}`;
}

function formatValue(value: string | number | boolean): string {
  return typeof value === 'number' && !Number.isInteger(value) ? value.toFixed(2) : String(value);
}
