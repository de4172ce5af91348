import { scheduleRepeated } from '../../core/clock.js';
import { createPauseDetector } from '../../core/pauseDetector.js';
import type { LinkFrame } from '../../schema/linkFrame.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { Controller } from '../context.js';
import type { EvictionCounts } from './clientBudget.js';
import { reportInternalError } from './containment.js';
import type { AcceptedLinkEvents, DialLink, LinkConnection, RequestContext } from './context.js';
import { createIncomingLinks } from './incomingLinks.js';
import { createLinkBudget } from './linkBudget.js';
import type { LinkLimits, LinkListener } from './linkBudget.js';
import { createPeerUpdates } from './peerUpdates.js';
import { createOutgoingLinks } from './outgoingLinks.js';

/** Interval between checks of the connections and of due status frames (ms). */
const TICK_INTERVAL_MS = 125;
/** Time without a tick after which received requests count as old (ms): their senders replace a silent link after 750 ms. */
const MIN_PAUSE_MS = 1000;
/** Reason of a connection that was closed after an error in the handling of a frame. */
const INTERNAL_ERROR = 'internal error';
const REPORT_INTERVAL_MS = 1000;

/** Accepts the connections of other nodes. */
export interface LinkController extends Controller {
  /** Accepts a connection opened by another node. */
  acceptLink(connection: LinkConnection): AcceptedLinkEvents;
  /** What the connections opened by other nodes occupy. */
  readonly linkCounts: ReadonlyMap<LinkListener, EvictionCounts>;
}

/** Writes the state of the links to other nodes; exchanges requests, status and updates over them. */
export function createLinkController(context: RequestContext, limits: Partial<LinkLimits> = {}): LinkController {
  const { board, clock } = context;
  const links = board.claim('links', 'linkController');
  const updates = createPeerUpdates(context);
  const dialLink: DialLink = (address, events) => {
    const disconnect = context.io.dialLink(address, {
      ...events,
      receive: (frame) => {
        receiveContained(frame, events.receive, () => {
          disconnect();
          events.closed(INTERNAL_ERROR);
        });
      },
    });
    return disconnect;
  };
  const outgoingContext = { ...context, io: { ...context.io, dialLink } };
  const outgoing = createOutgoingLinks(outgoingContext, links.section, { updates, publishChange: links.publishChange });
  const pauses = createPauseDetector(clock, { minPauseMs: MIN_PAUSE_MS });
  const budget = createLinkBudget({
    clock,
    limits,
    reportEvictions: (listener, { reason, ...inputs }) => {
      board.post('decisions', { kind: 'clientsClosed', outcome: reason, inputs: { listener, ...inputs } });
    },
  });
  const incoming = createIncomingLinks(context, { updates, budget, readPause: pauses.readPause });
  /** Handles a frame; an error in it ends the connection that carried it, as if the peer had closed it. */
  const receiveContained = (frame: LinkFrame, receive: (frame: LinkFrame) => void, close: () => void): void => {
    try {
      receive(frame);
    } catch (error) {
      reportInternalError(board, { unit: 'link frame', error });
      close();
    }
  };
  const acceptLink: LinkController['acceptLink'] = (connection) => {
    const events = incoming.accept(connection);
    return {
      ...events,
      receive: (frame) => {
        receiveContained(frame, events.receive, () => {
          connection.close();
          events.closed(INTERNAL_ERROR);
        });
      },
    };
  };
  let broadcastRevision = -1;
  let lastTickMs = clock.now();
  let stopTicks = (): void => undefined;
  let stopReports = (): void => undefined;

  const handleMembersChange = (): void => {
    const { self } = board.read('members');
    outgoing.updatePeers();
    if (self.revision === broadcastRevision) return;
    broadcastRevision = self.revision;
    outgoing.send({ type: 'members', members: [self as NodeMember] });
  };
  const broadcastStatus = (): void => {
    incoming.broadcastStatus();
  };
  const runTick = (): void => {
    pauses.observeTick();
    const nowMs = clock.now();
    const lateMs = nowMs - lastTickMs - TICK_INTERVAL_MS;
    lastTickMs = nowMs;
    // After a pause of this process, nothing was received although the peers may have sent frames.
    outgoing.check(nowMs, lateMs > TICK_INTERVAL_MS ? lateMs : 0);
    incoming.broadcastStatus({ onlyIfDue: true });
    for (const { host, what } of updates.listPulls()) outgoing.send({ type: 'pull', what }, host);
  };
  links.handlePosts((post) => {
    if (post.type === 'send') {
      outgoing.sendRun(post.attempt, post.isUrgent);
      return;
    }
    if (post.type === 'members') {
      outgoing.sendToDataCenter({ type: 'members', members: [...post.members], isComplete: false });
      return;
    }
    if (post.type === 'quotaAsk') {
      outgoing.send(post.frame, post.host);
      return;
    }
    outgoing.send({ type: 'crash', ...post.report });
  });
  return {
    acceptLink,
    linkCounts: budget.counts,
    start: () => {
      board.subscribe('members', handleMembersChange);
      board.subscribe('routes', outgoing.updatePeers);
      board.subscribe('quotas', outgoing.updatePeers);
      // Peers that do not read the store learn from the status that there is a new configuration, or that it was restored.
      board.subscribe('routes', broadcastStatus);
      board.subscribe('store', broadcastStatus);
      board.subscribe('target', broadcastStatus);
      board.subscribe('node', broadcastStatus);
      stopTicks = scheduleRepeated(clock, TICK_INTERVAL_MS, runTick);
      stopReports = scheduleRepeated(clock, REPORT_INTERVAL_MS, incoming.reportClosed);
    },
    stop: () => {
      stopTicks();
      stopReports();
      outgoing.stop();
      incoming.stop();
    },
  };
}
