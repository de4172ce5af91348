import type { Controller } from '../context.js';
import { isNewerMember } from '../../policy/memberOrder.js';
import { nodeMemberSchema } from '../../schema/nodeMember.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import { compileSchema } from '../../schema/validate.js';
import type { RequestContext } from './context.js';
import { startFollower } from './storeFollower.js';

/** Peers tell their own records over links, so the list at the store is read in larger steps. */
const READ_PAUSE_MS = 1000;
/** Pause before a write that the store refused or did not answer is repeated (ms). */
const WRITE_PAUSE_MS = 400;

const validator = compileSchema(nodeMemberSchema);

/** Writes the list of nodes, and keeps this node's own record at the platform's store. */
export function createMemberController(context: RequestContext): Controller {
  const { board, clock, random, io } = context;
  const members = board.claim('members', 'memberController');
  const { section } = members;
  const waiting: { revision: number; run: () => void }[] = [];
  const dropped = new Set<string>();
  let writtenRevision = -1;
  let isWriting = false;
  let isStopped = false;
  let stopFollower = (): void => undefined;

  const writeSelf = (): void => {
    if (isWriting || isStopped || writtenRevision >= section.self.revision) return;
    isWriting = true;
    const member = section.self;
    io.writeMember(member, (outcome) => {
      isWriting = false;
      if (outcome.type === 'written') {
        writtenRevision = Math.max(writtenRevision, member.revision);
        runWaiting();
        writeSelf();
        return;
      }
      const inputs = { revision: member.revision, detail: outcome.detail };
      board.post('decisions', { kind: 'storeChanged', outcome: `own record ${outcome.type}`, inputs });
      clock.schedule(WRITE_PAUSE_MS * (0.5 + random()), writeSelf);
    });
  };
  const runWaiting = (): void => {
    for (let first = waiting[0]; first !== undefined && first.revision <= writtenRevision; first = waiting[0]) {
      waiting.shift();
      first.run();
    }
  };
  const changeSelf = (change: Partial<NodeMember>): void => {
    section.self = { ...section.self, ...change, revision: section.self.revision + 1 };
  };
  const learnSelf = (record: NodeMember): void => {
    if (record.incarnation === section.self.incarnation) return;
    if (section.inherited === undefined || record.startedAtMs >= section.inheritedFromMs) {
      section.inherited = record.target;
      section.inheritedFromMs = record.startedAtMs;
    }
    // The time of day may have jumped back since the earlier process of this host started.
    if (record.startedAtMs >= section.self.startedAtMs) changeSelf({ startedAtMs: record.startedAtMs + 1 });
  };
  const remove = (host: string, reason: string): boolean => {
    if (!section.byHost.delete(host)) return false;
    board.post('decisions', { kind: 'memberChanged', outcome: 'removed', inputs: { host, reason } });
    return true;
  };
  /** Drops the record of an earlier host at this node's address. */
  const dropPredecessor = (host: string): void => {
    if (dropped.has(host)) return;
    dropped.add(host);
    io.dropMember(host, (outcome) => {
      if (outcome.type !== 'written') dropped.delete(host);
      const inputs = { host, address: section.self.linkAddress };
      board.post('decisions', {
        kind: 'memberChanged',
        outcome: `earlier host at this address: ${outcome.type}`,
        inputs,
      });
    });
  };
  /** Of two hosts with one address, only the one that started later can be there. */
  const yieldAddress = (record: NodeMember): boolean => {
    const { self } = section;
    if (record.linkAddress === self.linkAddress) {
      dropPredecessor(record.host);
      return false;
    }
    for (const other of section.byHost.values()) {
      if (other.linkAddress !== record.linkAddress || other.host === record.host) continue;
      if (other.startedAtMs > record.startedAtMs) return false;
      remove(other.host, `${record.host} has its address`);
    }
    return true;
  };
  const learn = (record: NodeMember, source: string): boolean => {
    if (record.host === section.self.host) {
      learnSelf(record);
      return false;
    }
    const known = section.byHost.get(record.host);
    if (!isNewerMember(record, known) || !yieldAddress(record)) return false;
    section.byHost.set(record.host, record);
    const inputs = {
      host: record.host,
      service: record.service,
      target: record.target?.id,
      phase: record.target?.phase,
      startedAtMs: record.startedAtMs,
      revision: record.revision,
      source,
    };
    board.post('decisions', { kind: 'memberChanged', outcome: known === undefined ? 'joined' : 'changed', inputs });
    return true;
  };
  const noteStore = (isReached: boolean): void => {
    section.storeHeardMs = isReached ? clock.now() : undefined;
  };
  /** Takes a dropped record out, unless the host proves to be there by its link. */
  const forget = (host: string): void => {
    if (host === section.self.host) writtenRevision = -1;
    else if (remove(host, 'its record was dropped')) members.publishChange();
  };
  const learnAll = (records: readonly NodeMember[], source: string, isComplete: boolean): void => {
    let hasChanged = isComplete && !section.isComplete;
    for (const record of records) hasChanged = learn(record, source) || hasChanged;
    section.isComplete ||= isComplete;
    if (hasChanged) members.publishChange();
    writeSelf();
  };
  members.handlePosts((post) => {
    if (post.type === 'learn') {
      learnAll(post.members, post.source, post.isComplete);
      return;
    }
    changeSelf({ target: post.target });
    if (post.durable !== undefined) waiting.push({ revision: section.self.revision, run: post.durable });
    members.publishChange();
    writeSelf();
  });
  return {
    start: () => {
      stopFollower = startFollower(context, {
        topic: io.memberTopic,
        pauseMs: READ_PAUSE_MS,
        apply: (records, isComplete) => {
          for (const { key, value } of records) if (value === undefined) forget(key);
          const values = records.map(({ value }) => value).filter((value) => validator.isValid(value));
          learnAll(values, 'store', isComplete);
        },
        noteStore,
        name: 'members',
      });
    },
    stop: () => {
      isStopped = true;
      stopFollower();
    },
  };
}
