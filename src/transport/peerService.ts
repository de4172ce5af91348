import type { ServiceDefinition } from '@grpc/grpc-js';
import type { Frame } from '../schema/frame.js';
import { decodeFrame, encodeFrame } from './frameCodec.js';

/** The one method between nodes: a stream of frames in both directions. */
export const peerService = {
  exchange: {
    path: '/hemlockstack.Peer/Exchange',
    requestStream: true,
    responseStream: true,
    requestSerialize: encodeFrame,
    requestDeserialize: decodeFrame,
    responseSerialize: encodeFrame,
    responseDeserialize: decodeFrame,
  },
} as const satisfies ServiceDefinition;

/** Headers with which a node opens a stream. */
export const HOST_HEADER = 'hemlock-host';
export const LANE_HEADER = 'hemlock-lane';

/** Larger than a frame with the largest answer body. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;

/** Receives a frame; `respond` writes on the stream that it came by. */
export type FrameReceiver = (
  host: string,
  lane: 'urgent' | 'routine' | 'control',
  frame: Frame,
  respond: (frame: Frame) => void,
) => void;
