import { scheduleRepeated } from '../../core/clock.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { Controller } from '../context.js';
import type { LinkConnection, LinkEvents, RequestContext } from './context.js';
import { createIncomingLinks } from './incomingLinks.js';
import { createLinkNews } from './linkNews.js';
import { createOutgoingLinks } from './outgoingLinks.js';

/** Period of the checks and of due status frames (ms). */
const TICK_MS = 125;

export interface LinkController extends Controller {
  /** Takes a connection that another node opened. */
  acceptLink(connection: LinkConnection): Pick<LinkEvents, 'receive' | 'closed'>;
}

/** Writes what is known of other nodes by links; carries requests, status and news between nodes. */
export function createLinkController(context: RequestContext): LinkController {
  const { board, clock } = context;
  const links = board.claim('links', 'linkController');
  const news = createLinkNews(context);
  const outgoing = createOutgoingLinks(context, links.section, { news, publishChange: links.publishChange });
  const incoming = createIncomingLinks(context, { news });
  let sentRevision = -1;
  let lastTickMs = clock.now();
  let stopTicks = (): void => undefined;

  const followMembers = (): void => {
    const { self } = board.read('members');
    outgoing.follow();
    if (self.revision === sentRevision) return;
    sentRevision = self.revision;
    outgoing.send({ type: 'members', members: [self as NodeMember] });
  };
  const spreadStatus = (): void => {
    incoming.spreadStatus();
  };
  const runTick = (): void => {
    const nowMs = clock.now();
    const lateMs = nowMs - lastTickMs - TICK_MS;
    lastTickMs = nowMs;
    outgoing.check(nowMs, lateMs > TICK_MS ? lateMs : 0);
    incoming.spreadStatus({ isDueOnly: true });
    for (const { host, what } of news.listPulls()) outgoing.send({ type: 'pull', what }, host);
  };
  links.handlePosts((post) => {
    if (post.type === 'send') {
      outgoing.sendRun(post.attempt);
      return;
    }
    const { reportId, fingerprints } = post;
    outgoing.send({ type: 'crash', reportId, fingerprints: [...fingerprints] });
  });
  return {
    acceptLink: incoming.accept,
    start: () => {
      board.subscribe('members', followMembers);
      board.subscribe('routes', outgoing.follow);
      board.subscribe('target', spreadStatus);
      board.subscribe('node', spreadStatus);
      stopTicks = scheduleRepeated(clock, TICK_MS, runTick);
    },
    stop: () => {
      stopTicks();
      outgoing.stop();
      incoming.stop();
    },
  };
}
