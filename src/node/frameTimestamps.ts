import type { SendFrame } from '../control/context.js';
import type { HybridClock } from '../core/hybridClock.js';
import type { Frame } from '../schema/frame.js';

type Respond = (frame: Frame) => void;

/** Adds the hybrid time to sent frames and merges that of received ones, so that events across nodes are ordered. */
export interface FrameTimestamps {
  sendFrame: SendFrame;
  receiveTimestamp(frame: Frame): void;
  /**
   * Wraps the function that writes to a stream. Returns the same wrapper for the same function, since it
   * identifies the stream.
   */
  wrapRespond(respond: Respond): Respond;
}

/**
 * Creates the timestamps of one process from its hybrid clock.
 *
 * @example
 * const timestamps = createFrameTimestamps(hybridClock, io.sendFrame);
 * timestamps.sendFrame('a1', 'control', frame);
 */
export function createFrameTimestamps(hybridClock: HybridClock, sendFrame: SendFrame): FrameTimestamps {
  const addTimestamp = (frame: Frame): Frame => {
    const { wallMs, counter } = hybridClock.getNext();
    // Copied, since the same frame may be sent to several peers.
    return { ...frame, sentAt: [wallMs, counter] };
  };
  const wrappers = new WeakMap<Respond, Respond>();
  return {
    sendFrame: (peer, lane, frame) => sendFrame(peer, lane, addTimestamp(frame)),
    receiveTimestamp: ({ sentAt }) => {
      if (sentAt !== undefined) hybridClock.receive({ wallMs: sentAt[0], counter: sentAt[1] });
    },
    wrapRespond: (respond) => {
      const existing = wrappers.get(respond);
      if (existing !== undefined) return existing;
      const respondStamped = (frame: Frame): void => {
        respond(addTimestamp(frame));
      };
      wrappers.set(respond, respondStamped);
      return respondStamped;
    },
  };
}
