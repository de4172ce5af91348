import { scheduleRepeated } from '../core/clock.js';
import { computeOverlay, selectGateways } from '../policy/overlay.js';
import type { Frame, HeartbeatFrame } from '../schema/frame.js';
import type { Controller, ControllerContext } from './context.js';
import type { Posts } from './sections.js';

/** Half of the heartbeat interval; bounds the delay until a missed heartbeat is noticed. */
const TICK_INTERVAL_MS = 500;
/** Interval between heartbeats (ms). */
const HEARTBEAT_INTERVAL_MS = 1000;
/** A tick later than this means that this process was paused and may have missed heartbeats that peers did send. */
const LATE_TICK_MS = 250;
/** Maximum number of updates that are remembered so that duplicates are dropped. */
const MAX_UPDATE_IDS = 4096;
/** Unit of the ages in heartbeats. */
const AGE_UNIT_MS = 100;

type BroadcastPost = Extract<Posts['links'], { type: 'broadcast' }>;

/** Writes the control links of this node: selects neighbours, sends heartbeats and broadcasts, tracks receipt times. */
export function createLinkController(context: ControllerContext): Controller {
  const { board, clock, io } = context;
  const links = board.claim('links', 'linkController');
  const { section } = links;
  const { neighbours, lastSeenByDataCenter } = section;
  const members = board.read('members');
  const seenUpdateIds = new Set<string>();
  let appliedRingVersion = -1;
  let nextHeartbeatMs = 0;
  let lastTickMs = clock.now();
  let stopTimer = (): void => undefined;

  const updateOverlay = (): void => {
    if (members.ringVersion === appliedRingVersion) return;
    appliedRingVersion = members.ringVersion;
    const { self } = members;
    const overlay = computeOverlay({ table: members, self });
    if (overlay.isGateway && !section.isGateway) lastSeenByDataCenter.clear();
    section.watched = overlay.watched;
    section.isGateway = overlay.isGateway;
    for (const id of neighbours.keys()) if (!overlay.neighbours.has(id)) neighbours.delete(id);
    const ownGateways = selectGateways(members.rings.get(self.dataCenter) ?? []);
    for (const id of overlay.neighbours) {
      const isLocal = members.byId.get(id)?.dataCenter === self.dataCenter;
      const isGatewayLink = overlay.isGateway && (!isLocal || ownGateways.includes(id));
      const link = neighbours.get(id);
      if (link === undefined)
        neighbours.set(id, { lastReceivedMs: clock.now(), hasReceived: false, isGatewayLink, isLocal });
      else link.isGatewayLink = isGatewayLink;
    }
  };

  const sendHeartbeats = (): void => {
    const { version } = members.self;
    const withoutAges: HeartbeatFrame = { type: 'heartbeat', version };
    const withAges: HeartbeatFrame = section.isGateway ? { ...withoutAges, ages: computeAges() } : withoutAges;
    for (const [id, { isGatewayLink }] of neighbours)
      io.sendFrame(id, 'control', isGatewayLink ? withAges : withoutAges);
  };
  // Adds one unit per hop, so that an age that circulates among gateways grows and does not stay constant.
  const computeAges = (): Record<string, number> => {
    const ages: Record<string, number> = { [members.self.dataCenter]: 0 };
    for (const [dataCenter, atMs] of lastSeenByDataCenter)
      ages[dataCenter] = Math.ceil((clock.now() - atMs) / AGE_UNIT_MS) + 1;
    return ages;
  };
  const recordAges = (host: string, ages: Record<string, number>): void => {
    const nowMs = clock.now();
    const sender = members.byId.get(host)?.dataCenter;
    for (const [dataCenter, age] of Object.entries(ages)) {
      if (dataCenter === members.self.dataCenter || !members.rings.has(dataCenter)) continue;
      const lastSeenMs = dataCenter === sender ? nowMs : nowMs - age * AGE_UNIT_MS;
      if (lastSeenMs > (lastSeenByDataCenter.get(dataCenter) ?? -Infinity))
        lastSeenByDataCenter.set(dataCenter, lastSeenMs);
    }
  };

  const recordReceived = (host: string): void => {
    const link = neighbours.get(host);
    if (link === undefined) return;
    link.lastReceivedMs = clock.now();
    link.hasReceived = true;
  };
  const receiveHeartbeat = (host: string, frame: HeartbeatFrame, respond: (frame: Frame) => void): void => {
    if (section.isGateway && frame.ages !== undefined) recordAges(host, frame.ages);
    // While member records propagate, a node may have this one as a neighbour and not the other way round.
    if (!neighbours.has(host) && frame.isReply !== true)
      respond({ type: 'heartbeat', version: members.self.version, isReply: true });
  };
  const broadcast = ({ frame, updateId, from, withinDataCenter = false }: BroadcastPost): void => {
    if (seenUpdateIds.has(updateId)) return;
    seenUpdateIds.add(updateId);
    if (seenUpdateIds.size > MAX_UPDATE_IDS) {
      for (const oldest of seenUpdateIds) {
        seenUpdateIds.delete(oldest);
        break;
      }
    }
    for (const [id, { isLocal }] of neighbours)
      if (id !== from && (isLocal || !withinDataCenter)) io.sendFrame(id, 'control', frame);
  };
  links.handlePosts((post) => {
    if (post.type === 'received') recordReceived(post.host);
    else if (post.type === 'heartbeat') receiveHeartbeat(post.host, post.frame, post.respond);
    else broadcast(post);
  });

  const runTick = (): void => {
    const nowMs = clock.now();
    section.lateMs = Math.max(0, nowMs - lastTickMs - TICK_INTERVAL_MS);
    lastTickMs = nowMs;
    if (section.lateMs > LATE_TICK_MS) adjustReceivedTimes(section.lateMs);
    updateOverlay();
    if (nowMs + TICK_INTERVAL_MS / 2 >= nextHeartbeatMs || section.lateMs > LATE_TICK_MS) {
      nextHeartbeatMs = nowMs + HEARTBEAT_INTERVAL_MS;
      sendHeartbeats();
    }
    links.publishChange();
  };
  const adjustReceivedTimes = (lateMs: number): void => {
    const nowMs = clock.now();
    for (const link of neighbours.values()) link.lastReceivedMs = Math.min(nowMs, link.lastReceivedMs + lateMs);
    for (const [dataCenter, atMs] of lastSeenByDataCenter)
      lastSeenByDataCenter.set(dataCenter, Math.min(nowMs, atMs + lateMs));
  };
  return {
    start: () => {
      board.subscribe('members', updateOverlay);
      updateOverlay();
      lastTickMs = clock.now();
      stopTimer = scheduleRepeated(clock, TICK_INTERVAL_MS, runTick);
    },
    stop: () => {
      stopTimer();
    },
  };
}
