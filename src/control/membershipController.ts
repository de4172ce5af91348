import { scheduleRepeated } from '../core/clock.js';
import { mergeMember } from '../policy/memberMerge.js';
import type { MemberRecord } from '../schema/member.js';
import type { Controller, ControllerContext } from './context.js';

const SPREAD_PERIOD_MS = 1000;
const PEERS_PER_PERIOD = 2;

/** Writes the member records: its own, and those that other nodes send. */
export function createMembershipController(context: ControllerContext): Controller {
  const { board, clock, io, random, settings } = context;
  const members = board.claim('members', 'membershipController');
  const { section } = members;
  let stopTimer = (): void => undefined;

  const buildServiceIndex = (): void => {
    section.byService.clear();
    for (const record of section.byId.values()) {
      if (record.service === undefined) continue;
      const list = section.byService.get(record.service);
      if (list === undefined) section.byService.set(record.service, [record]);
      else list.push(record);
    }
  };
  const mergeRecords = (records: readonly MemberRecord[]): void => {
    const news = records.filter((record) => record.id !== settings.host && mergeMember(section.byId, record));
    if (news.length === 0) return;
    buildServiceIndex();
    for (const record of news) {
      board.post('events', {
        kind: 'memberChanged',
        data: { host: record.id, targetState: record.targetState, nodeState: record.nodeState },
      });
    }
    members.publishChange();
  };
  const updateSelf = (change: Partial<MemberRecord>): void => {
    section.self = { ...section.self, ...change, version: section.self.version + 1 };
    section.byId.set(section.self.id, section.self);
    buildServiceIndex();
    members.publishChange();
    spread();
  };
  members.handlePosts((post) => {
    if (post.type === 'merge') mergeRecords(post.records);
    else updateSelf(post.change);
  });

  const spread = (): void => {
    const records = [...section.byId.values()];
    const others = records.filter((record) => record.id !== settings.host && record.nodeState !== 'down');
    for (const seed of settings.seeds) io.sendFrame(seed, 'control', { type: 'hello', member: section.self });
    for (let count = 0; count < PEERS_PER_PERIOD; count++) {
      const peer = others[Math.floor(random() * others.length)];
      if (peer !== undefined) io.sendFrame(peer.id, 'control', { type: 'members', records });
    }
  };
  return {
    start: () => {
      spread();
      stopTimer = scheduleRepeated(clock, SPREAD_PERIOD_MS, spread);
    },
    stop: () => {
      stopTimer();
    },
  };
}
