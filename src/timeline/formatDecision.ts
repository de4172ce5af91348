import type { DecisionLine } from '../schema/decision.js';

const HOST_COLUMN = 24;
const KIND_COLUMN = 20;

/**
 * Formats one decision of a node's log as a line of text.
 *
 * @example
 * formatDecision(line); // 09:15:02.113 sidecar-a-1  runFailed  connectionLost service=stock ranMs=12
 */
export function formatDecision({ timeMs, host, kind, outcome, inputs }: DecisionLine): string {
  const clock = new Date(timeMs).toISOString().slice(11, 23);
  const fields = Object.entries(inputs ?? {})
    .filter(([, value]) => value !== undefined && value !== '')
    .map(([name, value]) => `${name}=${String(value)}`);
  return [clock, host.padEnd(HOST_COLUMN), kind.padEnd(KIND_COLUMN), outcome, ...fields].join(' ');
}
