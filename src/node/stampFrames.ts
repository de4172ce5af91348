import type { SendFrame } from '../control/context.js';
import type { HybridClock } from '../core/hybridClock.js';
import type { Frame } from '../schema/frame.js';

type Respond = (frame: Frame) => void;

/** Adds the sender's hybrid time to frames and notes that of received ones, so that effects follow their causes. */
export interface FrameStamps {
  sendFrame: SendFrame;
  receiveStamp(frame: Frame): void;
  /** Wraps the function that answers on a stream; the same one for all frames of it, since it names the stream. */
  buildRespond(respond: Respond): Respond;
}

/**
 * Creates the stamps of one process over its hybrid clock.
 *
 * @example
 * const stamps = createFrameStamps(hybridClock, io.sendFrame);
 * stamps.sendFrame('a1', 'control', frame);
 */
export function createFrameStamps(hybridClock: HybridClock, sendFrame: SendFrame): FrameStamps {
  const addStamp = (frame: Frame): Frame => {
    const { wallMs, counter } = hybridClock.getNext();
    // A copy: the same frame may be on its way to several peers.
    return { ...frame, sentAt: [wallMs, counter] };
  };
  const wrapped = new WeakMap<Respond, Respond>();
  return {
    sendFrame: (peer, lane, frame) => sendFrame(peer, lane, addStamp(frame)),
    receiveStamp: ({ sentAt }) => {
      if (sentAt !== undefined) hybridClock.receive({ wallMs: sentAt[0], counter: sentAt[1] });
    },
    buildRespond: (respond) => {
      const known = wrapped.get(respond);
      if (known !== undefined) return known;
      const respondStamped = (frame: Frame): void => {
        respond(addStamp(frame));
      };
      wrapped.set(respond, respondStamped);
      return respondStamped;
    },
  };
}
