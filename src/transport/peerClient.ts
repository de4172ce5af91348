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
  /** Spreads the redials of many nodes. */
  random?: Random;
  counters?: TrafficCounters;
  /** Turns a node id into its peer address; undefined when it is not known. */
  resolveAddress: (peer: string) => string | undefined;
  receiveFrame: FrameReceiver;
  handleLinkClosed: (peer: string, lane: Lane) => void;
  reportFailure?: (message: string) => void;
}

export interface PeerClient {
  /** Writes a frame on the stream to a peer, opening it when there is none; false when it was certainly not written. */
  sendFrame(peer: string, lane: Lane, frame: Frame): boolean;
  /** True while a stream to a peer is open or being opened. */
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

interface Redial {
  pauseMs: number;
  notBeforeMs: number;
}

const IDLE_CLOSE_MS = 60_000;
/** Seeds are named by address and needed once: each open connection costs a seed pings. */
const ADDRESS_IDLE_CLOSE_MS = 5000;
const CHECK_PERIOD_MS = 1000;
/** An address that drops packets is given up after this long. */
const DIAL_TIMEOUT_MS = 3000;
/** A peer that could not be reached is not dialled again at once, so that callers fail over without waiting. */
const FIRST_REDIAL_PAUSE_MS = 250;
const LONGEST_REDIAL_PAUSE_MS = 4000;

/** Creates the sending side of the streams to other nodes: one connection per peer and lane, opened on demand. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const { clock, random = () => 0.5, counters = createTrafficCounters() } = options;
  const links = new Map<string, PeerLink>();
  const redials = new Map<string, Redial>();
  const { exchange } = createPeerService(counters);
  let isStopped = false;

  const openLink = (key: string, peer: string, lane: Lane, address: string): PeerLink | undefined => {
    if (isStopped || clock.now() < (redials.get(key)?.notBeforeMs ?? 0)) return undefined;
    const client = new Client(address, options.credentials, {
      ...(lane === 'control' ? CONTROL_KEEPALIVE_OPTIONS : KEEPALIVE_OPTIONS),
      'grpc.max_receive_message_length': MAX_FRAME_BYTES,
      'grpc.max_send_message_length': MAX_FRAME_BYTES,
      // Without its own pool, lanes to one address would share a connection and urgent frames could queue behind others.
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
      redials.delete(key);
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
    const pauseMs = Math.min(LONGEST_REDIAL_PAUSE_MS, 2 * (redials.get(key)?.pauseMs ?? FIRST_REDIAL_PAUSE_MS / 2));
    redials.set(key, { pauseMs, notBeforeMs: clock.now() + pauseMs * (0.5 + random()) });
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
  const stopChecks = scheduleRepeated(clock, CHECK_PERIOD_MS, () => {
    const nowMs = clock.now();
    for (const link of links.values()) {
      const idleMs = link.peer.includes(':') ? ADDRESS_IDLE_CLOSE_MS : IDLE_CLOSE_MS;
      if (link.lastUsedMs < nowMs - idleMs) link.stream.end();
      else if (!link.isOpen && link.lastUsedMs < nowMs - DIAL_TIMEOUT_MS) failLink(link, 'no connection in time');
    }
    for (const [key, { notBeforeMs }] of redials) if (notBeforeMs < nowMs - IDLE_CLOSE_MS) redials.delete(key);
  });
  // A restarted node has another address: the old stream is closed at once and not when its keepalive ends.
  const findLink = (key: string, address: string): PeerLink | undefined => {
    const link = links.get(key);
    if (link === undefined || link.address === address) return link;
    closeLink(link);
    redials.delete(key);
    return undefined;
  };

  return {
    sendFrame: (peer, lane, frame) => {
      const address = options.resolveAddress(peer);
      if (address === undefined) return false;
      const key = formatKey(peer, lane);
      const link = findLink(key, address) ?? openLink(key, peer, lane, address);
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
