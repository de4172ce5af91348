import type { Frame } from '../schema/frame.js';

/** gRPC message prefix (5) and HTTP/2 frame header (9); TLS, TCP and IP are not counted. */
const FRAMING_BYTES = 14;

export interface TrafficCount {
  frames: number;
  bytes: number;
}

/** Messages of this process by direction and frame type. Bytes include the framing, but not TLS, TCP and IP. */
export interface TrafficCounters {
  readonly sent: Map<Frame['type'], TrafficCount>;
  readonly received: Map<Frame['type'], TrafficCount>;
}

/** Creates counters that start at zero. */
export function createTrafficCounters(): TrafficCounters {
  return { sent: new Map(), received: new Map() };
}

/** Counts one message with a payload of `payloadBytes`. */
export function recordTraffic(
  counts: Map<Frame['type'], TrafficCount>,
  type: Frame['type'],
  payloadBytes: number,
): void {
  let count = counts.get(type);
  if (count === undefined) counts.set(type, (count = { frames: 0, bytes: 0 }));
  count.frames++;
  count.bytes += payloadBytes + FRAMING_BYTES;
}
