import type { Controller } from '../context.js';
import { mergeDepartures } from '../../policy/departures.js';
import { updateDigest } from '../../policy/membersDigest.js';
import { isAlteredCopy, isNewerMember } from '../../policy/memberOrder.js';
import { isStoreReadByFew } from '../../policy/storeReaders.js';
import { isHistoryNews, mergePublishedTargets, mergeTargets } from '../../policy/targetHistory.js';
import type { KeyedRecord } from '../../schema/keyedStore.js';
import { isAddress } from '../../schema/address.js';
import { nodeMemberSchema } from '../../schema/nodeMember.js';
import type { Departure, NodeMember, PublishedTarget } from '../../schema/nodeMember.js';
import { compileSchema } from '../../schema/validate.js';
import { reportInternalError } from './containment.js';
import type { RequestContext } from './context.js';
import { createDurabilityWaits } from './durabilityWaits.js';
import { LINK_WAIT_MS, RESTORE_WAIT_MS } from './hostHistory.js';
import { createOwnRecordWriter, FIRST_WRITE_WAIT_MS } from './ownRecordWriter.js';
import { createPredecessorRemoval } from './predecessorRemoval.js';
import { readReaderPlace, STORE_SOURCE } from './storeReading.js';
import { startTopicWatcher } from './topicWatcher.js';

/** Pause after a read that returned records (ms). It may be long, since peers also send their own records over links. */
const READ_PAUSE_MS = 1000;
/** The same in a large fleet, where some member changes nearly every second (ms). */
const LARGE_FLEET_READ_PAUSE_MS = 3000;
/** Time for which one read waits for a changed member (ms). It may be long, since peers send their own records as well. */
const READ_WAIT_MS = 25_000;
/** Maximum number of records passed to peers in one frame. */
const MAX_FORWARDED_RECORDS = 64;
/** Maximum number of ignored records that are remembered to log each only once. */
const MAX_UNUSABLE_RECORDS = 100;

const validator = compileSchema(nodeMemberSchema);

/** Writes the list of nodes, and keeps this node's own record in the platform's store up to date. */
export function createMemberController(context: RequestContext): Controller {
  const { board, clock, io } = context;
  const members = board.claim('members', 'memberController');
  const { section } = members;
  const durability = createDurabilityWaits(context);
  const ownRecord = createOwnRecordWriter(context, durability);
  const predecessors = createPredecessorRemoval(context);
  /** By host: the start of a process whose record was ignored, since no connection can be opened to its address. */
  const unusableIncarnations = new Map<string, string>();
  let stopWatcher = (): void => undefined;

  /** The store has lost what was written since its copy: writes it again, and lets the newest records show what is back. */
  const handleNewEra = (): void => {
    predecessors.restart();
    ownRecord.restart();
  };
  const replaceInDigest = (previous: NodeMember | undefined, next: NodeMember | undefined): void => {
    if (previous !== undefined) section.digest = updateDigest(section.digest, previous);
    if (next !== undefined) section.digest = updateDigest(section.digest, next);
  };
  const updateSelf = (change: Partial<NodeMember>): void => {
    const previous = section.self;
    section.self = { ...previous, ...change, revision: previous.revision + 1 };
    replaceInDigest(previous, section.self);
  };
  /** Makes the own record newer than one that other nodes may have taken over in its place. */
  const replaceRecord = ({ startedAtMs, incarnation }: NodeMember, reason: string, source: string): void => {
    const inputs = { startedAtMs, incarnation, source };
    board.post('decisions', { kind: 'faultFound', outcome: reason, inputs });
    updateSelf({ startedAtMs: Math.max(startedAtMs, section.self.startedAtMs) + 1 });
  };
  /** Takes over what an earlier process of this host published, from the store or a peer. */
  const applyEarlierSelf = (record: NodeMember, source: string): void => {
    const { incarnation, startedAtMs, revision, target } = record;
    if (isAlteredCopy(record, section.self)) {
      replaceRecord(record, 'altered record of this process', source);
      return;
    }
    if (!isHistoryNews(record, section.self)) return;
    const { previousTarget, previousOrder } = section;
    const isNewer = isNewerMember(record, previousOrder);
    section.previousTarget = isNewer
      ? mergePublishedTargets(target, previousTarget)
      : mergePublishedTargets(previousTarget, target);
    if (isNewer) section.previousOrder = { startedAtMs, revision };
    const departures = mergeDepartures(section.self.departures, record.departures);
    if (departures !== undefined && departures !== section.self.departures) updateSelf({ departures });
    const inputs = { startedAtMs, revision, target: target?.id, phase: target?.phase, isNewer, source };
    board.post('decisions', { kind: 'memberChanged', outcome: 'record of an earlier process', inputs });
    // The wall clock may have been set back since the earlier process started.
    if (incarnation !== section.self.incarnation && startedAtMs >= section.self.startedAtMs)
      updateSelf({ startedAtMs: startedAtMs + 1 });
  };
  const publishTarget = (target: PublishedTarget | undefined, added: readonly Departure[]): void => {
    const departures = mergeDepartures(section.self.departures, added);
    updateSelf({ ...(target === undefined ? {} : { target }), ...(departures === undefined ? {} : { departures }) });
  };
  const remove = (host: string, reason: string): boolean => {
    const known = section.byHost.get(host);
    if (known === undefined) return false;
    section.byHost.delete(host);
    replaceInDigest(known, undefined);
    board.post('decisions', { kind: 'memberChanged', outcome: 'removed', inputs: { host, reason } });
    return true;
  };
  /** Of two hosts with the same address, only the one started last can exist. True if the given one may be added. */
  const resolveAddressConflict = (record: NodeMember, source: string): boolean => {
    const { self } = section;
    if (record.linkAddress === self.linkAddress) {
      predecessors.remove(record.host);
      // This process listens there, so the record is wrong, but other nodes believe the later start.
      if (record.startedAtMs >= self.startedAtMs)
        replaceRecord(record, 'address of this host in another record', source);
      return false;
    }
    for (const other of section.byHost.values()) {
      if (other.linkAddress !== record.linkAddress || other.host === record.host) continue;
      if (other.startedAtMs > record.startedAtMs) return false;
      remove(other.host, `${record.host} started later at the same address`);
    }
    return true;
  };
  /** Logs each such record once, since peers of an earlier version send it again and again. */
  const reportUnusable = ({ host, linkAddress, incarnation }: NodeMember, source: string): void => {
    if (unusableIncarnations.get(host) === incarnation) return;
    if (unusableIncarnations.size >= MAX_UNUSABLE_RECORDS) unusableIncarnations.clear();
    unusableIncarnations.set(host, incarnation);
    const inputs = { host, linkAddress, source };
    board.post('decisions', { kind: 'faultFound', outcome: 'member record with an unusable address', inputs });
  };
  const applyRecord = (record: NodeMember, source: string): boolean => {
    if (record.host === section.self.host) {
      applyEarlierSelf(record, source);
      return false;
    }
    if (!isAddress(record.linkAddress)) {
      reportUnusable(record, source);
      return false;
    }
    const known = section.byHost.get(record.host);
    if (!isNewerMember(record, known) || !resolveAddressConflict(record, source)) return false;
    // A restarted process may not know yet that its target has left.
    section.byHost.set(record.host, mergeTargets(record, known));
    replaceInDigest(known, record);
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
  const updateStoreState = (isReached: boolean): void => {
    section.storeReadAtMs = isReached ? clock.now() : undefined;
  };
  const removeDeleted = (host: string): void => {
    if (remove(host, 'its record was deleted')) members.publishChange();
  };
  const recordComplete = (): void => {
    section.isComplete = true;
    section.completeAtMs = clock.now();
    // What waits for the history of this host goes on then, although some peers have not responded.
    clock.schedule(LINK_WAIT_MS + 1, () => {
      members.publishChange();
      ownRecord.write();
    });
  };
  /** Returns the records that were new. */
  const applyRecords = (records: readonly NodeMember[], source: string, isComplete: boolean): NodeMember[] => {
    const { revision } = section.self;
    const changed = records.filter((record) => {
      try {
        return applyRecord(record, source);
      } catch (error) {
        reportInternalError(board, { unit: 'store record', error });
        return false;
      }
    });
    const hasChanged = changed.length > 0 || section.self.revision !== revision || (isComplete && !section.isComplete);
    if (isComplete && !section.isComplete) recordComplete();
    if (hasChanged) members.publishChange();
    ownRecord.write();
    return changed;
  };
  const reportMalformed = ({ key, value, offset }: KeyedRecord): void => {
    const [fault] = validator.listFaults(value);
    const inputs = { host: key, offset, path: fault?.path, found: fault?.found };
    board.post('decisions', { kind: 'faultFound', outcome: 'malformed member record', inputs });
  };
  /** Handles deletions and malformed records; returns the valid ones. */
  const selectValid = (records: readonly KeyedRecord[]): NodeMember[] => {
    const valid: NodeMember[] = [];
    for (const record of records) {
      const { key, value, offset } = record;
      const member = validator.isValid(value) ? value : undefined;
      if (key === section.self.host) ownRecord.observe(member, offset);
      if (member !== undefined) valid.push(member);
      else if (value === undefined) removeDeleted(key);
      else reportMalformed(record);
    }
    return valid;
  };
  /** Passes what was new in the store to peers that do not read it. */
  const forwardChanges = (changed: readonly NodeMember[]): void => {
    if (!isStoreReadByFew(section.byHost)) return;
    for (let start = 0; start < changed.length; start += MAX_FORWARDED_RECORDS)
      board.post('links', { type: 'members', members: changed.slice(start, start + MAX_FORWARDED_RECORDS) });
  };
  members.handlePosts((post) => {
    if (post.type === 'apply') {
      applyRecords(post.members, post.source, post.isComplete);
      return;
    }
    if (post.type === 'whenDurable') {
      durability.add(section.self.revision, post.run);
      return;
    }
    publishTarget(post.target, post.departures);
    members.publishChange();
    ownRecord.write();
  });
  return {
    start: () => {
      for (const delayMs of [RESTORE_WAIT_MS + 1, FIRST_WRITE_WAIT_MS]) clock.schedule(delayMs, ownRecord.write);
      board.subscribe('links', ownRecord.write);
      board.subscribe('store', handleNewEra);
      stopWatcher = startTopicWatcher(context, {
        topic: io.memberTopic,
        getPauseMs: () => (isStoreReadByFew(section.byHost) ? LARGE_FLEET_READ_PAUSE_MS : READ_PAUSE_MS),
        getWaitMs: () => (readReaderPlace(board, clock.now()) === undefined ? undefined : READ_WAIT_MS),
        apply: (records, isComplete) => {
          const changed = applyRecords(selectValid(records), STORE_SOURCE, isComplete);
          if (!isComplete) forwardChanges(changed);
        },
        reportRead: updateStoreState,
        name: 'members',
      });
    },
    stop: () => {
      ownRecord.stop();
      predecessors.stop();
      stopWatcher();
    },
  };
}
