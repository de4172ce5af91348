import { Client, Metadata } from '@grpc/grpc-js';
import type { ChannelCredentials, ClientDuplexStream } from '@grpc/grpc-js';
import { scheduleRepeated } from '../core/clock.js';
import type { Clock } from '../core/clock.js';
import type { Random } from '../core/random.js';
import type { Frame, Lane } from '../schema/frame.js';
import { createFrameWriter } from './frameWriter.js';
import type { WriteFrame } from './frameWriter.js';
import {
  CONTROL_KEEPALIVE_OPTIONS,
  createPeerService,
  HOST_HEADER,
  KEEPALIVE_OPTIONS,
  LANE_HEADER,
  MAX_FRAME_BYTES,
} from './peerService.js';
import type { FrameReceiver } from './peerService.js';
import { createTrafficCounters } from './trafficCounters.js';
import type { TrafficCounters } from './trafficCounters.js';

export interface PeerClientOptions {
  /** Host name of this node. */
  host: string;
  credentials: ChannelCredentials;
  clock: Clock;
  /** Adds jitter to the redial delays, so that many nodes do not redial at the same time. */
  random?: Random;
  counters?: TrafficCounters;
  /** Returns the peer address of a node id, or undefined if it is unknown. */
  resolveAddress: (peer: string) => string | undefined;
  receiveFrame: FrameReceiver;
  handleLinkClosed: (peer: string, lane: Lane) => void;
  reportFailure?: (message: string) => void;
}

export interface PeerClient {
  /** Writes a frame to a peer, opening a stream if needed; returns false if the frame was definitely not written. */
  sendFrame(peer: string, lane: Lane, frame: Frame): boolean;
  /** Returns true while a stream to a peer is open or being opened. */
  hasLink(peer: string, lane: Lane): boolean;
  stop(): void;
}

interface PeerLink {
  readonly peer: string;
  readonly lane: Lane;
  readonly address: string;
  readonly client: Client;
  readonly stream: ClientDuplexStream<Frame, Frame>;
  readonly write: WriteFrame;
  isOpen: boolean;
  lastUsedMs: number;
}

interface RedialBackoff {
  delayMs: number;
  notBeforeMs: number;
}

const IDLE_TIMEOUT_MS = 60_000;
/** Shorter than for other peers: a seed is needed only once, and has to answer keepalive pings on open connections. */
const SEED_IDLE_TIMEOUT_MS = 5000;
const CHECK_INTERVAL_MS = 1000;
/** Time limit for opening a stream to an address that does not respond. */
const DIAL_TIMEOUT_MS = 3000;
/** An unreachable peer is not dialled again at once, so that callers fail over to another node without waiting. */
const MIN_REDIAL_DELAY_MS = 250;
const MAX_REDIAL_DELAY_MS = 4000;

/** Creates the client side of the streams to other nodes: one connection per peer and lane, opened on demand. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { clock, random = () => 0.5, counters = createTrafficCounters() } = options;
  const links = new Map<string, PeerLink>();
  const backoffs = new Map<string, RedialBackoff>();
  const { exchange } = createPeerService(counters);
  let isStopped = false;

  const openLink = (key: string, peer: string, lane: Lane, address: string): PeerLink | undefined => {
    if (isStopped || clock.now() < (backoffs.get(key)?.notBeforeMs ?? 0)) return undefined;
    const client = new Client(address, options.credentials, {
      ...(lane === 'control' ? CONTROL_KEEPALIVE_OPTIONS : KEEPALIVE_OPTIONS),
      'grpc.max_receive_message_length': MAX_FRAME_BYTES,
      'grpc.max_send_message_length': MAX_FRAME_BYTES,
      // With a shared pool, the lanes to one address would share a connection, where urgent frames queue behind others.
      'grpc.use_local_subchannel_pool': 1,
    });
    const metadata = new Metadata();
    metadata.set(HOST_HEADER, options.host);
    metadata.set(LANE_HEADER, lane);
    const { path, requestSerialize, responseDeserialize } = exchange;
    const stream = client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize, metadata);
    const write = createFrameWriter(stream, () => {
      failLink(link, 'the peer reads too slowly');
    });
    const link: PeerLink = { peer, lane, address, client, stream, write, isOpen: false, lastUsedMs: clock.now() };
    stream.on('metadata', () => {
      link.isOpen = true;
      backoffs.delete(key);
    });
    stream.on('data', (frame: Frame) => {
      link.lastUsedMs = clock.now();
      options.receiveFrame(peer, lane, frame, write);
    });
    stream.on('error', (error: Error) => {
      failLink(link, error.message);
    });
    stream.on('end', () => {
      closeLink(link);
    });
    links.set(key, link);
    return link;
  };
  const failLink = (link: PeerLink, reason: string): void => {
    const key = formatKey(link.peer, link.lane);
    if (links.get(key) !== link) return;
    const delayMs = Math.min(MAX_REDIAL_DELAY_MS, 2 * (backoffs.get(key)?.delayMs ?? MIN_REDIAL_DELAY_MS / 2));
    backoffs.set(key, { delayMs, notBeforeMs: clock.now() + delayMs * (0.5 + random()) });
    options.reportFailure?.(`the stream to ${link.peer} (${link.lane}) failed: ${reason}`);
    closeLink(link);
  };
  const closeLink = (link: PeerLink): void => {
    const key = formatKey(link.peer, link.lane);
    if (links.get(key) !== link) return;
    links.delete(key);
    link.stream.cancel();
    link.client.close();
    options.handleLinkClosed(link.peer, link.lane);
  };
  const stopChecks = scheduleRepeated(clock, CHECK_INTERVAL_MS, () => {
    const nowMs = clock.now();
    for (const link of links.values()) {
      // Only seeds are identified by their address.
      const idleMs = link.peer.includes(':') ? SEED_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
      if (link.lastUsedMs < nowMs - idleMs) link.stream.end();
      else if (!link.isOpen && link.lastUsedMs < nowMs - DIAL_TIMEOUT_MS)
        failLink(link, 'connection attempt timed out');
    }
    for (const [key, { notBeforeMs }] of backoffs) if (notBeforeMs < nowMs - IDLE_TIMEOUT_MS) backoffs.delete(key);
  });
  // A restarted node has a new address: the old stream is closed at once, without waiting for its keepalive timeout.
  const getCurrentLink = (key: string, address: string): PeerLink | undefined => {
    const link = links.get(key);
    if (link === undefined || link.address === address) return link;
    closeLink(link);
    backoffs.delete(key);
    return undefined;
  };

  return {
    sendFrame: (peer, lane, frame) => {
      const address = options.resolveAddress(peer);
      if (address === undefined) return false;
      const key = formatKey(peer, lane);
      const link = getCurrentLink(key, address) ?? openLink(key, peer, lane, address);
      if (link === undefined) return false;
      if (link.isOpen) link.lastUsedMs = clock.now();
      return link.write(frame);
    },
    hasLink: (peer, lane) => links.has(formatKey(peer, lane)),
    stop: () => {
      isStopped = true;
      stopChecks();
      for (const link of links.values()) {
        link.stream.end();
        link.client.close();
      }
      links.clear();
    },
  };
}

function formatKey(peer: string, lane: Lane): string {
  return `${lane} ${peer}`;
}
