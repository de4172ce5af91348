import type { SendFrame } from '../control/context.js';
import type { HybridClock } from '../core/hybridClock.js';
import type { Frame } from '../schema/frame.js';

type Respond = (frame: Frame) => void;

/** Adds the sender's hybrid time to frames and notes that of received ones, so that effects follow their causes. */
export interface FrameTimestamps {
  sendFrame: SendFrame;
  receiveTimestamp(frame: Frame): void;
  /** Wraps the function that answers on a stream; the same one for all frames of it, since it names the stream. */
  wrapRespond(respond: Respond): Respond;
}

/**
 * Creates the stamps of one process over its hybrid clock.
 *
 * @example
 * const stamps = createFrameStamps(hybridClock, io.sendFrame);
 * stamps.sendFrame('a1', 'control', frame);
 */
export function createFrameTimestamps(hybridClock: HybridClock, sendFrame: SendFrame): FrameTimestamps {
  const addTimestamp = (frame: Frame): Frame => {
    const { wallMs, counter } = hybridClock.getNext();
    // A copy: the same frame may be on its way to several peers.
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
