import { scheduleRepeated } from '../core/clock.js';
import { computeOverlay, selectGateways } from '../policy/overlay.js';
import type { Frame, HeartbeatFrame } from '../schema/frame.js';
import type { Controller, ControllerContext } from './context.js';
import type { Posts } from './sections.js';

/** Half of the heartbeat period, so that silence is noticed at most this late. */
const TICK_MS = 500;
const HEARTBEAT_PERIOD_MS = 1000;
/** A tick later than this means that this process did not run, so that the silence of peers proves nothing. */
const LATE_TICK_MS = 250;
const NEWS_REMEMBERED = 4096;
const AGE_UNIT_MS = 100;

type SpreadPost = Extract<Posts['links'], { type: 'spread' }>;

/** Writes the control links of this node: who its neighbours are, when they were heard, and what is spread to them. */
export function createLinkController(context: ControllerContext): Controller {
  const { board, clock, io } = context;
  const links = board.claim('links', 'linkController');
  const { section } = links;
  const { neighbours, heardDataCenters } = section;
  const members = board.read('members');
  const knownNews = new Set<string>();
  let knownRingVersion = -1;
  let nextHeartbeatMs = 0;
  let lastTickMs = clock.now();
  let stopTimer = (): void => undefined;

  const updateOverlay = (): void => {
    if (members.ringVersion === knownRingVersion) return;
    knownRingVersion = members.ringVersion;
    const { self } = members;
    const overlay = computeOverlay({ table: members, self });
    if (overlay.isGateway && !section.isGateway) heardDataCenters.clear();
    section.watched = overlay.watched;
    section.isGateway = overlay.isGateway;
    for (const id of neighbours.keys()) if (!overlay.neighbours.has(id)) neighbours.delete(id);
    const ownGateways = selectGateways(members.rings.get(self.dataCenter) ?? []);
    for (const id of overlay.neighbours) {
      const isLocal = members.byId.get(id)?.dataCenter === self.dataCenter;
      const joinsGateways = overlay.isGateway && (!isLocal || ownGateways.includes(id));
      const link = neighbours.get(id);
      if (link === undefined)
        neighbours.set(id, { lastReceivedMs: clock.now(), isHeard: false, joinsGateways, isLocal });
      else link.joinsGateways = joinsGateways;
    }
  };

  const sendHeartbeats = (): void => {
    const { version } = members.self;
    const plain: HeartbeatFrame = { type: 'heartbeat', version };
    const withAges: HeartbeatFrame = section.isGateway ? { ...plain, ages: computeAges() } : plain;
    for (const [id, { joinsGateways }] of neighbours) io.sendFrame(id, 'control', joinsGateways ? withAges : plain);
  };
  // One unit is added on every hop, so that an age sent around a circle of gateways grows and does not stand still.
  const computeAges = (): Record<string, number> => {
    const ages: Record<string, number> = { [members.self.dataCenter]: 0 };
    for (const [dataCenter, atMs] of heardDataCenters)
      ages[dataCenter] = Math.ceil((clock.now() - atMs) / AGE_UNIT_MS) + 1;
    return ages;
  };
  const recordAges = (host: string, ages: Record<string, number>): void => {
    const nowMs = clock.now();
    const sender = members.byId.get(host)?.dataCenter;
    for (const [dataCenter, age] of Object.entries(ages)) {
      if (dataCenter === members.self.dataCenter || !members.rings.has(dataCenter)) continue;
      const heardMs = dataCenter === sender ? nowMs : nowMs - age * AGE_UNIT_MS;
      if (heardMs > (heardDataCenters.get(dataCenter) ?? -Infinity)) heardDataCenters.set(dataCenter, heardMs);
    }
  };

  const recordHeard = (host: string): void => {
    const link = neighbours.get(host);
    if (link === undefined) return;
    link.lastReceivedMs = clock.now();
    link.isHeard = true;
  };
  const receiveHeartbeat = (host: string, frame: HeartbeatFrame, respond: (frame: Frame) => void): void => {
    if (section.isGateway && frame.ages !== undefined) recordAges(host, frame.ages);
    // While records spread, a node may count this one among its neighbours and not the other way round.
    if (!neighbours.has(host) && frame.isReply !== true)
      respond({ type: 'heartbeat', version: members.self.version, isReply: true });
  };
  const spread = ({ frame, newsId, from, withinDataCenter = false }: SpreadPost): void => {
    if (knownNews.has(newsId)) return;
    knownNews.add(newsId);
    if (knownNews.size > NEWS_REMEMBERED) {
      for (const oldest of knownNews) {
        knownNews.delete(oldest);
        break;
      }
    }
    for (const [id, { isLocal }] of neighbours)
      if (id !== from && (isLocal || !withinDataCenter)) io.sendFrame(id, 'control', frame);
  };
  links.handlePosts((post) => {
    if (post.type === 'heard') recordHeard(post.host);
    else if (post.type === 'heartbeat') receiveHeartbeat(post.host, post.frame, post.respond);
    else spread(post);
  });

  const runTick = (): void => {
    const nowMs = clock.now();
    section.lateMs = Math.max(0, nowMs - lastTickMs - TICK_MS);
    lastTickMs = nowMs;
    if (section.lateMs > LATE_TICK_MS) adjustHeardTimes(section.lateMs);
    updateOverlay();
    if (nowMs + TICK_MS / 2 >= nextHeartbeatMs || section.lateMs > LATE_TICK_MS) {
      nextHeartbeatMs = nowMs + HEARTBEAT_PERIOD_MS;
      sendHeartbeats();
    }
    links.publishChange();
  };
  const adjustHeardTimes = (lateMs: number): void => {
    const nowMs = clock.now();
    for (const link of neighbours.values()) link.lastReceivedMs = Math.min(nowMs, link.lastReceivedMs + lateMs);
    for (const [dataCenter, atMs] of heardDataCenters) heardDataCenters.set(dataCenter, Math.min(nowMs, atMs + lateMs));
  };
  return {
    start: () => {
      board.subscribe('members', updateOverlay);
      updateOverlay();
      lastTickMs = clock.now();
      stopTimer = scheduleRepeated(clock, TICK_MS, runTick);
    },
    stop: () => {
      stopTimer();
    },
  };
}
