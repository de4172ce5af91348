import { STREAM_WINDOW_BYTES } from '../../schema/linkFrame.js';
import type { Run } from './run.js';

/**
 * Maximum number of bytes kept of one body: senders stop at the flow-control window, after the bytes that they had read
 * already.
 */
export const MAX_WAITING_BODY_BYTES = 4 * STREAM_WINDOW_BYTES;
/** Maximum number of bytes kept of all bodies at one node. */
export const MAX_WAITING_BODIES_BYTES = 32 * 1024 * 1024;
/** Number of parts that are merged into one, so that tiny parts do not cost much more than their bytes. */
const MAX_PARTS = 256;

/** Parts of a streamed body that arrived before its request was sent to the target. */
export interface WaitingBody {
  parts: Buffer[];
  bytes: number;
  hasEnded: boolean;
}

/** The bodies of the requests that wait for the target. */
export interface WaitingBodies {
  /** Bytes kept of all bodies. */
  readonly bytes: number;
  /** Keeps a part; returns false if the body, or all bodies together, would become too large. */
  add(run: Run, data: Uint8Array, isLast: boolean): boolean;
  /** Removes and returns what was kept for a request; undefined if nothing arrived. */
  take(run: Run): WaitingBody | undefined;
}

/** Creates an empty store of bodies. */
export function createWaitingBodies(): WaitingBodies {
  const byRun = new Map<Run, WaitingBody>();
  let totalBytes = 0;
  return {
    get bytes() {
      return totalBytes;
    },
    add: (run, data, isLast) => {
      const body = byRun.get(run) ?? { parts: [], bytes: 0, hasEnded: false };
      if (body.bytes + data.length > MAX_WAITING_BODY_BYTES) return false;
      if (totalBytes + data.length > MAX_WAITING_BODIES_BYTES) return false;
      byRun.set(run, body);
      // A copy, since the part may be a view of a larger buffer.
      if (data.length > 0) body.parts.push(Buffer.from(data));
      if (body.parts.length > MAX_PARTS) body.parts = [Buffer.concat(body.parts)];
      body.bytes += data.length;
      totalBytes += data.length;
      body.hasEnded ||= isLast;
      return true;
    },
    take: (run) => {
      const body = byRun.get(run);
      byRun.delete(run);
      totalBytes -= body?.bytes ?? 0;
      return body;
    },
  };
}
