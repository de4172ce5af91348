import type { CallEnvelope } from '../schema/frame.js';

/** What the order of waiting calls depends on. */
export interface WaitingCall {
  envelope: Pick<CallEnvelope, 'worth' | 'depth'>;
  deadlineAtMs: number;
}

/** Orders waiting calls: most worth first, then the deeper one, in which more work is invested, then by deadline. */
export function compareWaiting(left: WaitingCall, right: WaitingCall): number {
  return (
    right.envelope.worth - left.envelope.worth ||
    right.envelope.depth - left.envelope.depth ||
    left.deadlineAtMs - right.deadlineAtMs
  );
}
