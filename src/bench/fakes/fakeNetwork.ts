import type { SendFrame } from '../../control/context.js';
import type { Clock } from '../../core/clock.js';
import type { Node } from '../../node/createNode.js';
import type { Frame, Lane } from '../../schema/frame.js';
import type { ProcessClock } from './processClock.js';

export interface FakeEndpoint {
  host: string;
  /** Peer address, as listed in the seeds of other nodes. */
  address: string;
  dataCenter: string;
  node: Node;
  process: ProcessClock;
}

/** Delivers frames between nodes after a fixed delay. Links can be cut in one or both directions. */
export interface FakeNetwork {
  attach(endpoint: FakeEndpoint): void;
  /** Removes a host; peers with open links to it are notified that these closed. */
  detach(host: string): void;
  /** Creates the function with which one host sends frames. */
  createSender(host: string): SendFrame;
  /** Silently drops frames between two hosts or data centres; with `oneWay` only from the first to the second. */
  cut(from: string, to: string, options?: { oneWay?: boolean }): void;
  /** Undoes `cut` in both directions. */
  heal(from: string, to: string): void;
  /** Drops the next `count` frames of a type; 0 stops dropping them. */
  dropFrames(type: Frame['type'], count: number): void;
  readonly framesSent: number;
}

export interface FakeNetworkOptions {
  clock: Clock;
  /** One-way delay (ms) between hosts of the same and of different data centres. */
  localDelayMs?: number;
  remoteDelayMs?: number;
  /** Called for every frame that a host sends, also for those that are dropped. */
  observeFrame?: FrameObserver;
}

export type FrameObserver = (from: string, to: string, lane: Lane, frame: Frame) => void;

/** Creates a network on a clock that all hosts share. */
export function createFakeNetwork(options: FakeNetworkOptions): FakeNetwork {
  const { clock, localDelayMs = 0.1, remoteDelayMs = 1 } = options;
  const endpoints = new Map<string, FakeEndpoint>();
  const cuts = new Set<string>();
  /** Links on which frames were sent, by sender, lane and receiver. The receiver's end of a link is called a stream. */
  const openLinks = new Map<string, { from: string; lane: Lane; to: string }>();
  const framesToDrop = new Map<Frame['type'], number>();
  /** Functions with which a receiver writes back on the sender's stream, by sender, lane and receiver. */
  const responders = new Map<string, { from: FakeEndpoint; to: FakeEndpoint; respond: (frame: Frame) => void }>();
  let framesSent = 0;

  const findEndpoint = (peer: string): FakeEndpoint | undefined =>
    endpoints.get(peer) ?? [...endpoints.values()].find((endpoint) => endpoint.address === peer);
  const isCut = (from: FakeEndpoint, to: FakeEndpoint): boolean =>
    cuts.size > 0 &&
    [from.host, from.dataCenter].some((left) => [to.host, to.dataCenter].some((right) => cuts.has(`${left} ${right}`)));
  /** Returns whether to drop the frame; a dropped frame counts against the number given to `dropFrames`. */
  const decideDrop = (frame: Frame): boolean => {
    const count = framesToDrop.get(frame.type) ?? 0;
    if (count === 0) return false;
    framesToDrop.set(frame.type, count - 1);
    return true;
  };
  /** Closes a link and notifies its sender. */
  const closeLink = (key: string): void => {
    const link = openLinks.get(key);
    if (link === undefined) return;
    openLinks.delete(key);
    const sender = endpoints.get(link.from);
    clock.schedule(localDelayMs, () => {
      sender?.process.runWhenActive(() => {
        sender.node.handleLinkClosed(link.to, link.lane);
      });
    });
  };
  const deliver = (from: FakeEndpoint, to: FakeEndpoint, lane: Lane, frame: Frame): void => {
    framesSent++;
    options.observeFrame?.(from.host, to.host, lane, frame);
    if (isCut(from, to) || decideDrop(frame)) return;
    const delayMs = from.dataCenter === to.dataCenter ? localDelayMs : remoteDelayMs;
    clock.schedule(delayMs, () => {
      if (endpoints.get(to.host) !== to || isCut(from, to)) return;
      to.process.runWhenActive(() => {
        to.node.receiveFrame(from.host, lane, frame, getResponder(from, to, lane));
      });
    });
  };
  const getResponder = (from: FakeEndpoint, to: FakeEndpoint, lane: Lane): ((frame: Frame) => void) => {
    const key = `${from.host} ${lane} ${to.host}`;
    const known = responders.get(key);
    if (known?.from === from && known.to === to) return known.respond;
    const respond = (response: Frame): void => {
      if (endpoints.get(from.host) === from && !to.process.isKilled) deliver(to, from, lane, response);
    };
    responders.set(key, { from, to, respond });
    return respond;
  };
  /** Removes the streams from and to a detached host; the receivers of its own streams are notified that these ended. */
  const endStreams = (host: string): void => {
    for (const [key, { from, to, respond }] of responders) {
      if (from.host !== host && to.host !== host) continue;
      responders.delete(key);
      if (from.host !== host) continue;
      clock.schedule(localDelayMs, () => {
        to.process.runWhenActive(() => {
          to.node.handleStreamEnded(respond);
        });
      });
    }
  };
  return {
    attach: (endpoint) => {
      endpoints.set(endpoint.host, endpoint);
    },
    detach: (host) => {
      endpoints.delete(host);
      endStreams(host);
      for (const [key, link] of openLinks) {
        if (link.to === host) closeLink(key);
        else if (link.from === host) openLinks.delete(key);
      }
    },
    createSender: (host) => (peer, lane, frame) => {
      const from = endpoints.get(host);
      const to = findEndpoint(peer);
      if (from === undefined || from.process.isKilled) return false;
      const key = `${host} ${lane} ${to?.host ?? peer}`;
      openLinks.set(key, { from: host, lane, to: to?.host ?? peer });
      if (to === undefined) closeLink(key);
      else deliver(from, to, lane, frame);
      return true;
    },
    cut: (from, to, { oneWay = false } = {}) => {
      cuts.add(`${from} ${to}`);
      if (!oneWay) cuts.add(`${to} ${from}`);
    },
    heal: (from, to) => {
      cuts.delete(`${from} ${to}`);
      cuts.delete(`${to} ${from}`);
    },
    dropFrames: (type, count) => {
      framesToDrop.set(type, count);
    },
    get framesSent() {
      return framesSent;
    },
  };
}
