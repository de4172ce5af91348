import type { ServiceDefinition } from '@grpc/grpc-js';
import type { Frame } from '../schema/frame.js';
import { decodeFrame, encodeFrame } from './frameCodec.js';
import { recordTraffic } from './trafficCounters.js';
import type { TrafficCounters } from './trafficCounters.js';

/** The only gRPC method between nodes: a stream of frames in both directions. */
export interface PeerService extends ServiceDefinition {
  exchange: {
    path: string;
    requestStream: true;
    responseStream: true;
    requestSerialize: (frame: Frame) => Buffer;
    requestDeserialize: (bytes: Buffer) => Frame;
    responseSerialize: (frame: Frame) => Buffer;
    responseDeserialize: (bytes: Buffer) => Frame;
  };
}

/** Creates the service definition; its codecs count the messages in `counters`. */
export function createPeerService(counters: TrafficCounters): PeerService {
  const encode = (frame: Frame): Buffer => {
    const bytes = encodeFrame(frame);
    recordTraffic(counters.sent, frame.type, bytes.length);
    return bytes;
  };
  const decode = (bytes: Buffer): Frame => {
    const frame = decodeFrame(bytes);
    recordTraffic(counters.received, frame.type, bytes.length);
    return frame;
  };
  return {
    exchange: {
      path: '/hemlockstack.Peer/Exchange',
      requestStream: true,
      responseStream: true,
      requestSerialize: encode,
      requestDeserialize: decode,
      responseSerialize: encode,
      responseDeserialize: decode,
    },
  };
}

/** Headers that a node sends when it opens a stream. */
export const HOST_HEADER = 'hemlock-host';
export const LANE_HEADER = 'hemlock-lane';

/** Larger than a frame with the largest response body. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;
/** Maximum bytes buffered for a peer; the stream to a slower reader is closed, which bounds the memory in use. */
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Detects a dead connection within 3 s: a ping is sent after 2 s and must be acknowledged within 1 s. */
export const KEEPALIVE_OPTIONS = {
  'grpc.keepalive_time_ms': 2000,
  'grpc.keepalive_timeout_ms': 1000,
  'grpc.keepalive_permit_without_calls': 0,
};

/** Heartbeats already detect an unresponsive control link within 3 s; pings only get its dead connection closed. */
export const CONTROL_KEEPALIVE_OPTIONS = { ...KEEPALIVE_OPTIONS, 'grpc.keepalive_time_ms': 10_000 };

/** Estimates the encoded size of a frame without encoding it. */
export function estimateFrameBytes(frame: Frame): number {
  if (frame.type === 'call') return FRAME_OVERHEAD_BYTES + frame.envelope.body.length;
  if (frame.type === 'answer') return FRAME_OVERHEAD_BYTES + frame.body.length;
  if (frame.type === 'members') return FRAME_OVERHEAD_BYTES * (1 + frame.records.length);
  return FRAME_OVERHEAD_BYTES;
}

/** Approximate size of a call envelope without its body, or of a member record. */
const FRAME_OVERHEAD_BYTES = 400;

/** Receives a frame; `respond` writes to the stream on which it was received. */
export type FrameReceiver = (
  host: string,
  lane: 'urgent' | 'routine' | 'control',
  frame: Frame,
  respond: (frame: Frame) => void,
) => void;
