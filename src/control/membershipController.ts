import { DOWN_ALONE_AFTER_MS } from '../policy/failureDetector.js';
import { compareMemberRecords, mergeMember, putMember, removeMember } from '../policy/memberMerge.js';
import type { Frame, MembershipFrame } from '../schema/frame.js';
import type { MemberRecord } from '../schema/member.js';
import type { Controller, ControllerContext } from './context.js';
import { createMemberExchange } from './memberExchange.js';
import { createUnreachableReports } from './unreachableReports.js';
import { createMemberBroadcast } from './memberBroadcast.js';
import { createMemberWatch } from './memberWatch.js';

/**
 * Pause of this process above which its peers may have declared it down and its target's announcement is out of date.
 */
const PAUSE_THRESHOLD_MS = 3000;
/**
 * Time for which the record of a node that is down is kept. Longer than an update takes to propagate, and longer than a
 * partition during which hosts of the data centre are replaced.
 */
const DOWN_RECORD_RETENTION_MS = 600_000;
/** Interval between exchanges of digests with a random neighbour (ms). */
const EXCHANGE_INTERVAL_MS = 10_000;
/** Maximum random delay of the start, so that a fleet that starts at once does not ask its seeds together (ms). */
const START_JITTER_MS = 1000;
/** Bounds of the interval between hellos of a node that hears from no neighbour; it doubles with each hello (ms). */
const MIN_HELLO_INTERVAL_MS = 1000;
const MAX_HELLO_INTERVAL_MS = 8000;
/** Gateways keep sending hellos to seeds, so that parts of a fleet that started during a partition find each other. */
const GATEWAY_HELLO_INTERVAL_MS = 60_000;
/** A welcome takes about 30 KB; while a whole fleet starts, a seed sends at most 1.5 MB/s and other nodes retry. */
const MAX_WELCOMES_PER_SECOND = 50;
/** Time after a welcome until the neighbours have this node's record and can send it the remaining records. */
const FIRST_EXCHANGE_DELAY_MS = 200;
/** Records that a node pulls in this time after its welcome are not forwarded, since its neighbours have them. */
const JOINING_PERIOD_MS = 2000;

/** Writes the member records: its own, those received from other nodes, and those of watched nodes that are down. */
export function createMembershipController(context: ControllerContext): Controller {
  const { board, clock, io, random, settings } = context;
  const members = board.claim('members', 'membershipController');
  const { section } = members;
  const links = board.read('links');
  const broadcast = createMemberBroadcast(context);
  const exchange = createMemberExchange(context, section, () => clock.now() < state.joiningUntilMs);
  /** By host: monotonic time (ms) at which its down or leaving record is removed. */
  const expiresAtMs = new Map<string, number>();
  const state = {
    isStopped: false,
    hasReceivedWelcome: false,
    helloIntervalMs: MIN_HELLO_INTERVAL_MS,
    nextHelloMs: 0,
    nextExchangeMs: 0,
    welcomeCount: 0,
    welcomeWindowStartMs: 0,
    joiningUntilMs: 0,
  };

  const applyRecord = (record: MemberRecord, sender: string, isWelcome: boolean): boolean => {
    if (record.id === settings.host) {
      mergeOwnRecord(record);
      return false;
    }
    if (!mergeMember(section, record)) {
      // The sender has this record, so it need not be sent to it.
      broadcast.recordSender(record, sender);
      return false;
    }
    if (!isWelcome) broadcast.add(record, sender);
    recordChange(record);
    return true;
  };
  const recordChange = (record: MemberRecord): void => {
    if (record.nodeState === 'alive') expiresAtMs.delete(record.id);
    else expiresAtMs.set(record.id, clock.now() + DOWN_RECORD_RETENTION_MS);
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
    broadcast.add(section.self);
    members.publishChange();
    broadcast.flush();
  };
  // A received record of this host that is newer than the local one marks it as down, or was written by an earlier
  // process whose clock was ahead. The local record gets a higher version; otherwise all nodes would ignore this
  // process.
  const mergeOwnRecord = (record: MemberRecord): void => {
    if (compareMemberRecords(record, section.self) <= 0) return;
    const isSameProcess = record.incarnation === section.self.incarnation;
    const startedAtMs = isSameProcess ? section.self.startedAtMs : record.startedAtMs + 1;
    section.self = { ...section.self, startedAtMs, version: Math.max(section.self.version, record.version) };
    // Without a change this only raises the version.
    updateSelf({});
  };
  const markDown = (host: string): void => {
    const known = section.byId.get(host);
    if (known?.nodeState !== 'alive') return;
    const record: MemberRecord = { ...known, nodeState: 'down' };
    putMember(section, record);
    broadcast.add(record);
    recordChange(record);
    members.publishChange();
  };
  const unreachableReports = createUnreachableReports(context, section);
  const watch = createMemberWatch(context, markDown);

  const receive = (host: string, frame: MembershipFrame, respond: (frame: Frame) => void): void => {
    switch (frame.type) {
      case 'hello':
        applyRecords([frame.member], frame.member.id);
        if (isWelcomeAllowed()) exchange.sendWelcome(frame.member.dataCenter, respond);
        return;
      case 'heartbeat':
        checkVersion(host, frame.version, respond);
        return;
      case 'members':
        applyRecords(frame.records, host, frame.isWelcome);
        handleWelcome();
        return;
      case 'silence':
        unreachableReports.receiveReport(frame, host);
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
    if (clock.now() - state.welcomeWindowStartMs >= 1000) {
      state.welcomeWindowStartMs = clock.now();
      state.welcomeCount = 0;
    }
    return state.welcomeCount++ < MAX_WELCOMES_PER_SECOND;
  };
  const checkVersion = (host: string, version: number, respond: (frame: Frame) => void): void => {
    const known = section.byId.get(host);
    // On a stream that was opened to a seed, the peer is identified by its address
    // (`host:port`), which is not a node id.
    if (known === undefined ? !host.includes(':') : version > known.version)
      respond({ type: 'pull', dataCenters: [], hosts: [host], configuration: false });
    else if (known?.nodeState === 'down') respond({ type: 'members', records: [known] });
  };
  const handleWelcome = (): void => {
    if (state.hasReceivedWelcome) return;
    state.hasReceivedWelcome = true;
    state.joiningUntilMs = clock.now() + JOINING_PERIOD_MS;
    clock.schedule(FIRST_EXCHANGE_DELAY_MS, () => {
      sendDigestToNeighbour();
    });
  };

  const sendHello = (): void => {
    const others = settings.seeds.filter((seed) => seed !== section.self.peerAddress);
    const seed = others[Math.floor(random() * others.length)];
    if (seed !== undefined) io.sendFrame(seed, 'control', { type: 'hello', member: section.self });
  };
  const sendHelloIfDue = (): void => {
    const nowMs = clock.now();
    if (nowMs < state.nextHelloMs) return;
    const isIsolated = ![...links.neighbours.values()].some(
      (link) => link.hasReceived && nowMs - link.lastReceivedMs < DOWN_ALONE_AFTER_MS,
    );
    if (!isIsolated && !links.isGateway) return;
    sendHello();
    state.nextHelloMs = nowMs + (isIsolated ? state.helloIntervalMs * (0.5 + random()) : GATEWAY_HELLO_INTERVAL_MS);
    state.helloIntervalMs = isIsolated
      ? Math.min(MAX_HELLO_INTERVAL_MS, 2 * state.helloIntervalMs)
      : MIN_HELLO_INTERVAL_MS;
  };

  const sendDigestToNeighbour = (): void => {
    const peers = [...links.neighbours.keys()];
    const peer = peers[Math.floor(random() * peers.length)];
    if (peer !== undefined) exchange.sendDigest(peer);
  };
  // After a partition within a data centre both sides regard each other as down and have no links to each other, so one
  // of them must send a digest. An unreachable data centre may have other gateways by now, so any of its nodes may be
  // chosen.
  const sendDigestToUnreachable = (): void => {
    const unreachable = [...expiresAtMs.keys()].filter((id) => section.byId.get(id)?.nodeState === 'down');
    if (links.isGateway)
      for (const dataCenter of section.unreachableDataCenters)
        for (const { id } of section.rings.get(dataCenter) ?? []) unreachable.push(id);
    const peer = unreachable[Math.floor(random() * unreachable.length)];
    if (peer !== undefined) exchange.sendDigest(peer);
  };
  const removeExpired = (): void => {
    for (const [host, atMs] of expiresAtMs) {
      if (atMs > clock.now()) continue;
      expiresAtMs.delete(host);
      removeMember(section, host);
    }
  };
  const handlePause = (): void => {
    board.post('events', { kind: 'pauseDetected', data: { lateMs: Math.round(links.lateMs) } });
    board.post('target', { type: 'expireLease' });
    board.post('calls', { type: 'refuseQueued' });
    // The higher version replaces a `down` record of this node at its peers.
    updateSelf({});
  };
  const handleLinkTick = (): void => {
    if (state.isStopped) return;
    if (links.lateMs > PAUSE_THRESHOLD_MS) handlePause();
    watch.check();
    unreachableReports.check();
    sendHelloIfDue();
    if (clock.now() < state.nextExchangeMs) return;
    state.nextExchangeMs = clock.now() + EXCHANGE_INTERVAL_MS;
    sendDigestToNeighbour();
    sendDigestToUnreachable();
    removeExpired();
  };

  members.handlePosts((post) => {
    if (post.type === 'receive') receive(post.host, post.frame, post.respond);
    else updateSelf(post.change);
  });
  return {
    start: () => {
      const jitterMs = random() * START_JITTER_MS;
      state.nextHelloMs = clock.now() + START_JITTER_MS + MIN_HELLO_INTERVAL_MS;
      state.nextExchangeMs = clock.now() + random() * EXCHANGE_INTERVAL_MS;
      clock.schedule(jitterMs, sendHello);
      // The link controller publishes its section at every tick.
      board.subscribe('links', handleLinkTick);
    },
    stop: () => {
      state.isStopped = true;
    },
  };
}
