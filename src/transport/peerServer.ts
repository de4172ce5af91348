import { Metadata, Server, status } from '@grpc/grpc-js';
import type { ServerCredentials, ServerDuplexStream } from '@grpc/grpc-js';
import type { Clock } from '../core/clock.js';
import { FailureError } from '../schema/failure.js';
import type { SystemFailure } from '../schema/failure.js';
import { laneSchema } from '../schema/frame.js';
import type { Frame, Lane } from '../schema/frame.js';
import type { ListenSettings } from '../schema/settings.js';
import { compileSchema } from '../schema/validate.js';
import { createFrameWriter } from './frameWriter.js';
import type { WriteFrame } from './frameWriter.js';
import { startPeerConnections } from './peerConnections.js';
import type { OpenAccount, PeerConnections } from './peerConnections.js';
import { createPeerService, HOST_HEADER, LANE_HEADER, MAX_FRAME_BYTES } from './peerService.js';
import type { FrameReceiver } from './peerService.js';
import { createTrafficCounters } from './trafficCounters.js';
import type { TrafficCounters } from './trafficCounters.js';

export interface PeerServerOptions {
  listen: ListenSettings;
  credentials: ServerCredentials;
  clock: Clock;
  /** Opens the account of a new connection in the budget of all that peers open. */
  openAccount: OpenAccount;
  receiveFrame: FrameReceiver;
  counters?: TrafficCounters;
  /** Called when a stream has ended; `respond`, the function that was passed with its frames, identifies it. */
  handleStreamEnded?: (respond: (frame: Frame) => void) => void;
  /** Called with the failure of a stream; the stream is closed, and the server keeps running. */
  reportFailure?: (failure: SystemFailure) => void;
}

export interface PeerServer {
  /** Address of the server with the port that was bound. */
  readonly address: string;
  /** Writes to the stream that a peer opened; returns false if there is none or the frame was not written. */
  sendOnAcceptedStream(host: string, lane: Lane, frame: Frame): boolean;
  stop(): Promise<void>;
}

type AcceptedStreams = Map<string, WriteFrame>;

/** Streams that a peer may open on one connection: one per lane, and their successors before they are closed. */
const MAX_STREAMS = 16;
/** Memory of one HTTP/2 session beyond which no further stream is accepted (MB). */
const MAX_SESSION_MEGABYTES = 16;

/** Longer than on the client side: here, keepalive only releases the resources of peers that have disappeared. */
const SERVER_KEEPALIVE_OPTIONS = { 'grpc.keepalive_time_ms': 10_000, 'grpc.keepalive_timeout_ms': 3000 };

const HOST_NAME = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,254}$/;
/** Time for peers to read the last frames and close their side; after it, the connections are closed forcibly. */
const FLUSH_TIMEOUT_MS = 1000;
const laneValidator = compileSchema(laneSchema);

/**
 * Starts to accept frame streams from other nodes.
 *
 * @throws FailureError `listenFailed` when the address cannot be bound.
 */
export async function startPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const accepted: AcceptedStreams = new Map();
  const server = new Server({
    ...SERVER_KEEPALIVE_OPTIONS,
    'grpc.max_receive_message_length': MAX_FRAME_BYTES,
    'grpc.max_send_message_length': MAX_FRAME_BYTES,
    'grpc.max_concurrent_streams': MAX_STREAMS,
    'grpc-node.max_session_memory': MAX_SESSION_MEGABYTES,
  });
  const streams = new Set<ServerDuplexStream<Frame, Frame>>();
  const service = createPeerService(options.counters ?? createTrafficCounters());
  const requestDeserialize = createDecoder(service.exchange.requestDeserialize, options);
  server.addService(
    { exchange: { ...service.exchange, requestDeserialize } },
    {
      exchange: (stream: ServerDuplexStream<Frame, Frame>) => {
        streams.add(stream);
        stream.once('close', () => streams.delete(stream));
        acceptStream(stream, { options, accepted, connections });
      },
    },
  );
  const injector = server.createConnectionInjector(options.credentials);
  const connections = await startPeerConnections({
    listen: options.listen,
    clock: options.clock,
    openAccount: options.openAccount,
    serve: (socket) => {
      injector.injectConnection(socket);
    },
  });
  return {
    address: connections.address,
    sendOnAcceptedStream: (peer, lane, frame) => accepted.get(`${lane} ${peer}`)?.(frame) ?? false,
    stop: () => {
      connections.stop();
      return stopServer(server, streams);
    },
  };
}

/** Wraps a decoder to report its errors, because grpc-js ends the stream without reporting them. */
function createDecoder(
  decodeFrame: (bytes: Buffer) => Frame,
  { reportFailure }: PeerServerOptions,
): (bytes: Buffer) => Frame {
  return (bytes) => {
    try {
      return decodeFrame(bytes);
    } catch (error) {
      if (error instanceof FailureError) reportFailure?.(error.failure as SystemFailure);
      throw error;
    }
  };
}

interface StreamContext {
  options: PeerServerOptions;
  accepted: AcceptedStreams;
  connections: PeerConnections;
}

function acceptStream(
  stream: ServerDuplexStream<Frame, Frame>,
  { options, accepted, connections }: StreamContext,
): void {
  const host = String(stream.metadata.get(HOST_HEADER)[0] ?? '');
  const lane: unknown = stream.metadata.get(LANE_HEADER)[0];
  if (!HOST_NAME.test(host) || !laneValidator.isValid(lane)) {
    const message = `a peer opened a stream without a valid ${HOST_HEADER} or ${LANE_HEADER} header`;
    options.reportFailure?.({ kind: 'frameMalformed', message, faults: [] });
    stream.emit('error', { code: status.INVALID_ARGUMENT, details: message });
    return;
  }
  stream.sendMetadata(new Metadata());
  const key = `${lane} ${host}`;
  const account = connections.find(stream.getPeer())?.addStream();
  const writeFrame = createFrameWriter(
    stream,
    () => {
      stream.emit('error', { code: status.RESOURCE_EXHAUSTED, details: 'the peer reads too slowly' });
    },
    (bytes) => account?.changeHeldBytes(bytes),
  );
  accepted.set(key, writeFrame);
  const removeAccepted = (): void => {
    if (accepted.get(key) === writeFrame) accepted.delete(key);
  };
  stream.on('cancelled', removeAccepted);
  stream.on('close', removeAccepted);
  for (const event of ['cancelled', 'close', 'error'] as const) stream.on(event, () => account?.remove());
  stream.on('data', (frame: Frame) => {
    account?.observeFrame();
    options.receiveFrame(host, lane, frame, writeFrame);
  });
  stream.on('error', (error: Error) => {
    removeAccepted();
    const message = `the stream from ${host} (${lane}) failed: ${error.message}`;
    options.reportFailure?.({ kind: 'nodeUnreachable', message, address: host });
  });
  let isEnded = false;
  const notifyEnded = (): void => {
    if (isEnded) return;
    isEnded = true;
    options.handleStreamEnded?.(writeFrame);
  };
  stream.on('end', () => {
    removeAccepted();
    stream.end();
    notifyEnded();
  });
  stream.on('cancelled', notifyEnded);
  stream.on('close', notifyEnded);
}

/** Ends the streams after the frames already written, so that the last responses reach their nodes. */
function stopServer(server: Server, streams: ReadonlySet<ServerDuplexStream<Frame, Frame>>): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      server.forceShutdown();
      resolve();
    }, FLUSH_TIMEOUT_MS);
    for (const stream of streams) stream.end();
    server.tryShutdown(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
