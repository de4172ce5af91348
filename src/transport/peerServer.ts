import { Metadata, Server, status } from '@grpc/grpc-js';
import type { ServerCredentials, ServerDuplexStream } from '@grpc/grpc-js';
import { FailureError } from '../schema/failure.js';
import { laneSchema } from '../schema/frame.js';
import type { Frame } from '../schema/frame.js';
import type { ListenSettings } from '../schema/settings.js';
import { compileSchema } from '../schema/validate.js';
import { HOST_HEADER, LANE_HEADER, MAX_FRAME_BYTES, peerService } from './peerService.js';
import type { FrameReceiver } from './peerService.js';

export interface PeerServerOptions {
  listen: ListenSettings;
  credentials: ServerCredentials;
  receiveFrame: FrameReceiver;
  /** Called when a stream ended, with the function that responded on it. */
  receiveStreamEnded?: (respond: (frame: Frame) => void) => void;
  /** Called with what went wrong on a stream; the stream is closed, the server goes on. */
  reportFailure?: (message: string) => void;
}

export interface PeerServer {
  /** The address at which peers reach it, with the port that was bound. */
  readonly address: string;
  stop(): Promise<void>;
}

const laneValidator = compileSchema(laneSchema);

/**
 * Starts to accept streams of frames from other nodes.
 *
 * @throws FailureError `listenFailed` when the address cannot be bound.
 */
export async function startPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const server = new Server({
    'grpc.max_receive_message_length': MAX_FRAME_BYTES,
    'grpc.max_send_message_length': MAX_FRAME_BYTES,
  });
  server.addService(peerService, {
    exchange: (stream: ServerDuplexStream<Frame, Frame>) => {
      acceptStream(stream, options);
    },
  });
  const { host, port } = options.listen;
  const boundPort = await openServer(server, `${host}:${port}`, options.credentials);
  return {
    address: `${host}:${boundPort}`,
    stop: () => stopServer(server),
  };
}

function acceptStream(stream: ServerDuplexStream<Frame, Frame>, options: PeerServerOptions): void {
  const host = String(stream.metadata.get(HOST_HEADER)[0] ?? '');
  const lane: unknown = stream.metadata.get(LANE_HEADER)[0];
  if (host === '' || !laneValidator.isValid(lane)) {
    stream.emit('error', { code: status.INVALID_ARGUMENT, details: 'host or lane header is missing' });
    return;
  }
  stream.sendMetadata(new Metadata());
  const respond = (frame: Frame): void => {
    if (stream.writable) stream.write(frame);
  };
  stream.on('data', (frame: Frame) => {
    options.receiveFrame(host, lane, frame, respond);
  });
  stream.on('error', (error: Error) => {
    options.reportFailure?.(`the stream from ${host} (${lane}) failed: ${error.message}`);
  });
  let isEnded = false;
  const end = (): void => {
    if (isEnded) return;
    isEnded = true;
    options.receiveStreamEnded?.(respond);
  };
  stream.on('end', () => {
    stream.end();
    end();
  });
  stream.on('cancelled', end);
  stream.on('close', end);
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
