import { Metadata, Server, status } from '@grpc/grpc-js';
import type { ServerCredentials, ServerDuplexStream } from '@grpc/grpc-js';
import { FailureError } from '../schema/failure.js';
import { laneSchema } from '../schema/frame.js';
import type { Frame, Lane } from '../schema/frame.js';
import type { ListenSettings } from '../schema/settings.js';
import { compileSchema } from '../schema/validate.js';
import { createFrameWriter } from './frameWriter.js';
import type { WriteFrame } from './frameWriter.js';
import { createPeerService, HOST_HEADER, LANE_HEADER, MAX_FRAME_BYTES } from './peerService.js';
import type { FrameReceiver } from './peerService.js';
import { createTrafficCounters } from './trafficCounters.js';
import type { TrafficCounters } from './trafficCounters.js';

export interface PeerServerOptions {
  listen: ListenSettings;
  credentials: ServerCredentials;
  receiveFrame: FrameReceiver;
  counters?: TrafficCounters;
  /** Called with what went wrong on a stream; the stream is closed, the server goes on. */
  reportFailure?: (message: string) => void;
}

export interface PeerServer {
  /** The address at which peers reach it, with the port that was bound. */
  readonly address: string;
  /** Writes on a stream that a peer opened; false when there is none or the frame was not written. */
  sendAccepted(host: string, lane: Lane, frame: Frame): boolean;
  stop(): Promise<void>;
}

type AcceptedStreams = Map<string, WriteFrame>;

/** Longer than on the other end: this one only frees what a vanished peer left. */
const SERVER_KEEPALIVE_OPTIONS = { 'grpc.keepalive_time_ms': 10_000, 'grpc.keepalive_timeout_ms': 3000 };

const laneValidator = compileSchema(laneSchema);

/**
 * Starts to accept streams of frames from other nodes.
 *
 * @throws FailureError `listenFailed` when the address cannot be bound.
 */
export async function startPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const accepted: AcceptedStreams = new Map();
  const server = new Server({
    ...SERVER_KEEPALIVE_OPTIONS,
    'grpc.max_receive_message_length': MAX_FRAME_BYTES,
    'grpc.max_send_message_length': MAX_FRAME_BYTES,
  });
  server.addService(createPeerService(options.counters ?? createTrafficCounters()), {
    exchange: (stream: ServerDuplexStream<Frame, Frame>) => {
      acceptStream(stream, options, accepted);
    },
  });
  const { host, port } = options.listen;
  const boundPort = await openServer(server, `${host}:${port}`, options.credentials);
  return {
    address: `${host}:${boundPort}`,
    sendAccepted: (peer, lane, frame) => accepted.get(`${lane} ${peer}`)?.(frame) ?? false,
    stop: () => stopServer(server),
  };
}

function acceptStream(
  stream: ServerDuplexStream<Frame, Frame>,
  options: PeerServerOptions,
  accepted: AcceptedStreams,
): void {
  const host = String(stream.metadata.get(HOST_HEADER)[0] ?? '');
  const lane: unknown = stream.metadata.get(LANE_HEADER)[0];
  if (host === '' || !laneValidator.isValid(lane)) {
    stream.emit('error', { code: status.INVALID_ARGUMENT, details: 'host or lane header is missing' });
    return;
  }
  stream.sendMetadata(new Metadata());
  const key = `${lane} ${host}`;
  const writeFrame = createFrameWriter(stream, () => {
    stream.emit('error', { code: status.RESOURCE_EXHAUSTED, details: 'the peer reads too slowly' });
  });
  accepted.set(key, writeFrame);
  const removeAccepted = (): void => {
    if (accepted.get(key) === writeFrame) accepted.delete(key);
  };
  stream.on('cancelled', removeAccepted);
  stream.on('close', removeAccepted);
  stream.on('data', (frame: Frame) => {
    options.receiveFrame(host, lane, frame, writeFrame);
  });
  stream.on('error', (error: Error) => {
    removeAccepted();
    options.reportFailure?.(`the stream from ${host} (${lane}) failed: ${error.message}`);
  });
  stream.on('end', () => {
    removeAccepted();
    stream.end();
  });
}

function openServer(server: Server, address: string, credentials: ServerCredentials): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync(address, credentials, (error, port) => {
      if (error === null) resolve(port);
      else
        reject(
          new FailureError({ kind: 'listenFailed', message: `cannot listen for peers: ${error.message}`, address }),
        );
    });
  });
}

function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.tryShutdown(() => {
      resolve();
    });
    server.forceShutdown();
  });
}
