import { DOWN_ALONE_AFTER_MS } from '../policy/failureDetector.js';
import { compareMemberRecords, mergeMember, putMember, removeMember } from '../policy/memberMerge.js';
import type { Frame, MembershipFrame } from '../schema/frame.js';
import type { MemberRecord } from '../schema/member.js';
import type { Controller, ControllerContext } from './context.js';
import { createMemberExchange } from './exchangeMembers.js';
import { createSilenceReports } from './reportSilence.js';
import { createMemberNews } from './spreadMembers.js';
import { createMemberWatch } from './watchMembers.js';

/** Longer than any lease of this node: what it held before the pause is over. */
const PAUSE_MS = 3000;
/** Longer than any news is under way or any data centre is expected to be cut off while its hosts are replaced. */
const GONE_RECORD_KEPT_MS = 600_000;
const EXCHANGE_PERIOD_MS = 10_000;
const START_JITTER_MS = 1000;
const FIRST_HELLO_PAUSE_MS = 1000;
const LONGEST_HELLO_PAUSE_MS = 8000;
/** Gateways greet a seed now and then, so that fleets that came up apart find each other. */
const GATEWAY_HELLO_PERIOD_MS = 60_000;
/** A welcome is some 30 KB: a seed of a fleet that starts at once answers 1.5 MB a second and lets the others retry. */
const WELCOMES_PER_SECOND = 50;
/** After a welcome, the time until neighbours know this node well enough to tell it the rest. */
const FIRST_EXCHANGE_MS = 200;
/** What a new node pulls until then is old news to its neighbours, and it does not send it on. */
const JOINING_MS = 2000;

/** Writes the member records: its own, those that other nodes send, and those of watched nodes that are down. */
export function createMembershipController(context: ControllerContext): Controller {
  const { board, clock, io, random, settings } = context;
  const members = board.claim('members', 'membershipController');
  const { section } = members;
  const links = board.read('links');
  const news = createMemberNews(context);
  const exchange = createMemberExchange(context, section, () => clock.now() < state.joiningUntilMs);
  /** By host: when its down or leaving record is removed. */
  const goneAtMs = new Map<string, number>();
  const state = {
    isStopped: false,
    isWelcomed: false,
    helloPauseMs: FIRST_HELLO_PAUSE_MS,
    nextHelloMs: 0,
    nextExchangeMs: 0,
    welcomes: 0,
    welcomesSinceMs: 0,
    joiningUntilMs: 0,
  };

  const applyRecord = (record: MemberRecord, sender: string, isWelcome: boolean): boolean => {
    if (record.id === settings.host) {
      mergeOwnRecord(record);
      return false;
    }
    if (!mergeMember(section, record)) {
      news.recordSender(record, sender);
      return false;
    }
    if (!isWelcome) news.add(record, sender);
    recordChange(record);
    return true;
  };
  const recordChange = (record: MemberRecord): void => {
    if (record.nodeState === 'alive') goneAtMs.delete(record.id);
    else goneAtMs.set(record.id, clock.now() + GONE_RECORD_KEPT_MS);
    board.post('events', {
      kind: 'memberChanged',
      data: { host: record.id, targetState: record.targetState, nodeState: record.nodeState },
    });
  };
  const applyRecords = (records: readonly MemberRecord[], sender: string, isWelcome = false): void => {
    let isChanged = false;
    for (const record of records) isChanged = applyRecord(record, sender, isWelcome) || isChanged;
    if (isChanged) members.publishChange();
  };

  const updateSelf = (change: Partial<MemberRecord>): void => {
    section.self = { ...section.self, ...change, version: section.self.version + 1 };
    putMember(section, section.self);
    news.add(section.self);
    members.publishChange();
    news.sendPending();
  };
  // A record of this host that is newer than its own says that it is down, or comes from an earlier process whose clock
  // was ahead. The own record must win, or the fleet would never see this process.
  const mergeOwnRecord = (record: MemberRecord): void => {
    if (compareMemberRecords(record, section.self) <= 0) return;
    const isSameProcess = record.incarnation === section.self.incarnation;
    const startedAtMs = isSameProcess ? section.self.startedAtMs : record.startedAtMs + 1;
    section.self = { ...section.self, startedAtMs, version: Math.max(section.self.version, record.version) };
    updateSelf({});
  };
  const markDown = (host: string): void => {
    const known = section.byId.get(host);
    if (known?.nodeState !== 'alive') return;
    const record: MemberRecord = { ...known, nodeState: 'down' };
    putMember(section, record);
    news.add(record);
    recordChange(record);
    members.publishChange();
  };
  const silence = createSilenceReports(context, section);
  const watch = createMemberWatch(context, markDown);

  const receive = (host: string, frame: MembershipFrame, respond: (frame: Frame) => void): void => {
    switch (frame.type) {
      case 'hello':
        applyRecords([frame.member], frame.member.id);
        if (isWelcomeAllowed()) exchange.sendWelcome(frame.member.dataCenter, respond);
        return;
      case 'heartbeat':
        checkKnown(host, frame.version, respond);
        return;
      case 'members':
        applyRecords(frame.records, host, frame.isWelcome);
        finishWelcome();
        return;
      case 'silence':
        silence.receiveSilence(frame, host);
        return;
      case 'suspicion':
        watch.receiveSuspicion(host, frame, respond);
        return;
      case 'digest':
        exchange.receiveDigest(frame, respond);
        return;
      case 'versions':
        exchange.receiveVersions(frame, respond);
        return;
      case 'pull':
        exchange.receivePull(frame, respond);
        return;
    }
  };
  const isWelcomeAllowed = (): boolean => {
    if (clock.now() - state.welcomesSinceMs >= 1000) {
      state.welcomesSinceMs = clock.now();
      state.welcomes = 0;
    }
    return state.welcomes++ < WELCOMES_PER_SECOND;
  };
  const checkKnown = (host: string, version: number, respond: (frame: Frame) => void): void => {
    const known = section.byId.get(host);
    if (known === undefined ? !host.includes(':') : version > known.version)
      respond({ type: 'pull', dataCenters: [], hosts: [host], configuration: false });
    else if (known?.nodeState === 'down') respond({ type: 'members', records: [known] });
  };
  const finishWelcome = (): void => {
    if (state.isWelcomed) return;
    state.isWelcomed = true;
    state.joiningUntilMs = clock.now() + JOINING_MS;
    clock.schedule(FIRST_EXCHANGE_MS, () => {
      compareWithNeighbour();
    });
  };

  const sendHello = (): void => {
    const others = settings.seeds.filter((seed) => seed !== section.self.peerAddress);
    const seed = others[Math.floor(random() * others.length)];
    if (seed !== undefined) io.sendFrame(seed, 'control', { type: 'hello', member: section.self });
  };
  const joinIfAlone = (): void => {
    const nowMs = clock.now();
    if (nowMs < state.nextHelloMs) return;
    const isAlone = ![...links.neighbours.values()].some(
      (link) => link.isHeard && nowMs - link.lastReceivedMs < DOWN_ALONE_AFTER_MS,
    );
    if (!isAlone && !links.isGateway) return;
    sendHello();
    state.nextHelloMs = nowMs + (isAlone ? state.helloPauseMs * (0.5 + random()) : GATEWAY_HELLO_PERIOD_MS);
    state.helloPauseMs = isAlone ? Math.min(LONGEST_HELLO_PAUSE_MS, 2 * state.helloPauseMs) : FIRST_HELLO_PAUSE_MS;
  };

  const compareWithNeighbour = (): void => {
    const peers = [...links.neighbours.keys()];
    const peer = peers[Math.floor(random() * peers.length)];
    if (peer !== undefined) exchange.sendDigest(peer);
  };
  // Two sides of a parted data centre hold each other down and keep no links: one of them has to ask. The gateways of a
  // silent data centre may all have been replaced, so any of its nodes is asked.
  const compareWithLost = (): void => {
    const lost = [...goneAtMs.keys()].filter((id) => section.byId.get(id)?.nodeState === 'down');
    if (links.isGateway)
      for (const dataCenter of section.silentDataCenters)
        for (const { id } of section.rings.get(dataCenter) ?? []) lost.push(id);
    const peer = lost[Math.floor(random() * lost.length)];
    if (peer !== undefined) exchange.sendDigest(peer);
  };
  const removeGone = (): void => {
    for (const [host, atMs] of goneAtMs) {
      if (atMs > clock.now()) continue;
      goneAtMs.delete(host);
      removeMember(section, host);
    }
  };
  const handlePause = (): void => {
    board.post('events', { kind: 'pauseDetected', data: { lateMs: Math.round(links.lateMs) } });
    board.post('target', { type: 'lapse' });
    board.post('calls', { type: 'refuseWaiting' });
    updateSelf({});
  };
  const handleLinkTick = (): void => {
    if (state.isStopped) return;
    if (links.lateMs > PAUSE_MS) handlePause();
    watch.check();
    silence.check();
    joinIfAlone();
    if (clock.now() < state.nextExchangeMs) return;
    state.nextExchangeMs = clock.now() + EXCHANGE_PERIOD_MS;
    compareWithNeighbour();
    compareWithLost();
    removeGone();
  };

  members.handlePosts((post) => {
    if (post.type === 'receive') receive(post.host, post.frame, post.respond);
    else updateSelf(post.change);
  });
  return {
    start: () => {
      const jitterMs = random() * START_JITTER_MS;
      state.nextHelloMs = clock.now() + START_JITTER_MS + FIRST_HELLO_PAUSE_MS;
      state.nextExchangeMs = clock.now() + random() * EXCHANGE_PERIOD_MS;
      clock.schedule(jitterMs, sendHello);
      board.subscribe('links', handleLinkTick);
    },
    stop: () => {
      state.isStopped = true;
    },
  };
}
