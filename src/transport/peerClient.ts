import { Client, Metadata } from '@grpc/grpc-js';
import type { ChannelCredentials, ClientDuplexStream } from '@grpc/grpc-js';
import type { Clock } from '../core/clock.js';
import type { Frame, Lane } from '../schema/frame.js';
import { HOST_HEADER, LANE_HEADER, MAX_FRAME_BYTES, peerService } from './peerService.js';
import type { FrameReceiver } from './peerService.js';

export interface PeerClientOptions {
  /** Host name of this node. */
  host: string;
  credentials: ChannelCredentials;
  clock: Clock;
  /** Turns a node id into its peer address; undefined when it is not known. */
  resolveAddress: (peer: string) => string | undefined;
  receiveFrame: FrameReceiver;
  receiveLinkClosed: (peer: string, lane: Lane) => void;
  reportFailure?: (message: string) => void;
}

export interface PeerClient {
  /** Writes a frame on the stream to a peer, opening it when there is none; false when it was certainly not written. */
  sendFrame(peer: string, lane: Lane, frame: Frame): boolean;
  stop(): void;
}

interface PeerLink {
  client: Client;
  stream: ClientDuplexStream<Frame, Frame>;
  lastUsedMs: number;
}

const IDLE_CLOSE_MS = 60_000;
const IDLE_CHECK_MS = 10_000;
/** A peer that could not be reached is not dialled again for this long, so that callers fail over at once. */
const REDIAL_PAUSE_MS = 500;
/** Frames queued by a stream beyond this mean that the peer does not read. */
const MAX_BUFFERED_FRAMES = 4096;

/** Creates the sending side of the streams to other nodes: one connection per peer and lane, opened on demand. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { clock } = options;
  const links = new Map<string, PeerLink>();
  const redialAtMs = new Map<string, number>();
  let isStopped = false;

  const openLink = (key: string, peer: string, lane: Lane): PeerLink | undefined => {
    const address = options.resolveAddress(peer);
    if (address === undefined || isStopped || clock.now() < (redialAtMs.get(key) ?? 0)) return undefined;
    const client = new Client(address, options.credentials, {
      'grpc.max_receive_message_length': MAX_FRAME_BYTES,
      'grpc.max_send_message_length': MAX_FRAME_BYTES,
      // Without its own pool, lanes to one address would share a connection and urgent frames could queue behind others.
      'grpc.use_local_subchannel_pool': 1,
    });
    const metadata = new Metadata();
    metadata.set(HOST_HEADER, options.host);
    metadata.set(LANE_HEADER, lane);
    const { path, requestSerialize, responseDeserialize } = peerService.exchange;
    const stream = client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize, metadata);
    const link: PeerLink = { client, stream, lastUsedMs: clock.now() };
    const respond = (frame: Frame): void => {
      stream.write(frame);
    };
    stream.on('data', (frame: Frame) => {
      options.receiveFrame(peer, lane, frame, respond);
    });
    stream.on('error', (error: Error) => {
      redialAtMs.set(key, clock.now() + REDIAL_PAUSE_MS);
      options.reportFailure?.(`the stream to ${peer} (${lane}) failed: ${error.message}`);
      closeLink(key, link, peer, lane);
    });
    stream.on('end', () => {
      closeLink(key, link, peer, lane);
    });
    links.set(key, link);
    return link;
  };
  const closeLink = (key: string, link: PeerLink, peer: string, lane: Lane): void => {
    if (links.get(key) !== link) return;
    links.delete(key);
    link.client.close();
    options.receiveLinkClosed(peer, lane);
  };
  const closeIdle = (): void => {
    if (isStopped) return;
    const idleSinceMs = clock.now() - IDLE_CLOSE_MS;
    for (const link of links.values()) {
      if (link.lastUsedMs < idleSinceMs) link.stream.end();
    }
    clock.schedule(IDLE_CHECK_MS, closeIdle);
  };
  clock.schedule(IDLE_CHECK_MS, closeIdle);

  return {
    sendFrame: (peer, lane, frame) => {
      const key = `${lane} ${peer}`;
      const link = links.get(key) ?? openLink(key, peer, lane);
      if (link === undefined || link.stream.writableLength > MAX_BUFFERED_FRAMES) return false;
      link.lastUsedMs = clock.now();
      link.stream.write(frame);
      return true;
    },
    stop: () => {
      isStopped = true;
      for (const link of links.values()) {
        link.stream.end();
        link.client.close();
      }
      links.clear();
    },
  };
}
