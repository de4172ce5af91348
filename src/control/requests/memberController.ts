import type { Controller } from '../context.js';
import { updateDigest } from '../../policy/membersDigest.js';
import { isAlteredCopy, isNewerMember } from '../../policy/memberOrder.js';
import { findPublishedTargetFault } from '../../policy/ownTarget.js';
import { isWriteOfEra } from '../../policy/storeEra.js';
import type { StoreEra } from '../../policy/storeEra.js';
import { isStoreReadByFew } from '../../policy/storeReaders.js';
import { isHistoryNews, mergePublishedTargets, mergeTargets } from '../../policy/targetHistory.js';
import type { KeyedRecord, StoreWrite } from '../../schema/keyedStore.js';
import { isAddress } from '../../schema/address.js';
import { nodeMemberSchema } from '../../schema/nodeMember.js';
import type { NodeMember, PublishedTarget } from '../../schema/nodeMember.js';
import { compileSchema } from '../../schema/validate.js';
import { reportInternalError } from './containment.js';
import type { RequestContext } from './context.js';
import { createDurabilityWaits } from './durabilityWaits.js';
import { isHistoryKnown, LINK_WAIT_MS, RESTORE_WAIT_MS } from './hostHistory.js';
import { observeStoreEra, readReaderPlace, STORE_SOURCE } from './storeReading.js';
import { startTopicWatcher } from './topicWatcher.js';

/** Pause after a read that returned records (ms). It may be long, since peers also send their own records over links. */
const READ_PAUSE_MS = 1000;
/** The same in a large fleet, where some member changes nearly every second (ms). */
const LARGE_FLEET_READ_PAUSE_MS = 3000;
/** Time for which one read waits for a changed member (ms). It may be long, since peers send their own records as well. */
const READ_WAIT_MS = 25_000;
/** Mean pause before a failed write to the store is retried (ms). */
const WRITE_RETRY_MS = 400;
/** Maximum number of records passed to peers in one frame. */
const MAX_FORWARDED_RECORDS = 64;
/**
 * Time after its start in which a node of a large fleet waits for its target before it writes its record (ms), so that one
 * write suffices.
 */
const FIRST_WRITE_WAIT_MS = 2500;

/** Maximum number of ignored records that are remembered to log each only once. */
const MAX_UNUSABLE_RECORDS = 100;

const validator = compileSchema(nodeMemberSchema);

/** Writes the list of nodes, and keeps this node's own record in the platform's store up to date. */
export function createMemberController(context: RequestContext): Controller {
  const { board, clock, random, io } = context;
  const members = board.claim('members', 'memberController');
  const { section } = members;
  const durability = createDurabilityWaits(context);
  const removedPredecessors = new Set<string>();
  /** By host: the start of a process whose record was ignored, since no connection can be opened to its address. */
  const unusableIncarnations = new Map<string, string>();
  const startedAtMs = clock.now();
  let writtenRevision = -1;
  let hasWritten = false;
  let isWriting = false;
  /** The revision that was refused, until its next attempt is due. */
  let failedRevision = -1;
  let cancelRetry = (): void => undefined;
  let isStopped = false;
  let stopWatcher = (): void => undefined;

  const isRestorable = (target: PublishedTarget): boolean =>
    findPublishedTargetFault(target, board.read('settings').current) === undefined;
  /** The first record replaces that of an earlier process, so it has to say what that one said of the target. */
  const isFirstWriteDelayed = (): boolean => {
    if (hasWritten) return false;
    if (!isHistoryKnown(board, clock.now())) return true;
    if (section.self.target !== undefined) return false;
    // What cannot be restored is not waited for.
    if (section.previousTarget !== undefined && isRestorable(section.previousTarget)) return true;
    return isStoreReadByFew(section.byHost) && clock.now() - startedAtMs < FIRST_WRITE_WAIT_MS;
  };
  const setWrittenRevision = (revision: number): void => {
    writtenRevision = revision;
    durability.setWrittenRevision(revision);
  };
  const writeSelf = (): void => {
    if (isWriting || isStopped || failedRevision === section.self.revision || writtenRevision >= section.self.revision)
      return;
    if (isFirstWriteDelayed()) return;
    isWriting = true;
    const member = section.self;
    const begun = board.read('store').era;
    io.writeMember(member, (outcome) => {
      isWriting = false;
      if (outcome.type === 'written') hasWritten = true;
      if (isInStore(outcome, begun)) setWrittenRevision(member.revision);
      else if (begun === board.read('store').era) {
        retryWrite(member.revision, outcome);
        return;
      }
      writeSelf();
    });
  };
  /** True when what was written or deleted is part of the records that the store has now. */
  const isInStore = (outcome: StoreWrite, begun: StoreEra): boolean => {
    const received = outcome.type === 'unknown' ? undefined : outcome.era;
    observeStoreEra(board, received, STORE_SOURCE);
    return outcome.type === 'written' && isWriteOfEra({ begun, received, known: board.read('store').era });
  };
  const retryWrite = (revision: number, outcome: StoreWrite): void => {
    const detail = outcome.type === 'written' ? 'response of an earlier era' : outcome.detail;
    const inputs = { revision, detail };
    board.post('decisions', { kind: 'storeChanged', outcome: `own record ${outcome.type}`, inputs });
    cancelRetry();
    cancelRetry = clock.schedule(WRITE_RETRY_MS * (0.5 + random()), () => {
      failedRevision = -1;
      writeSelf();
    });
    failedRevision = revision;
  };
  /** The store has lost what was written since its copy: writes it again, and lets the newest records show what is back. */
  const handleNewEra = (): void => {
    removedPredecessors.clear();
    cancelRetry();
    failedRevision = -1;
    setWrittenRevision(-1);
    writeSelf();
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
  /** Takes the place of a record at all nodes, with a later start: it is not of the process that runs here. */
  const replaceRecord = ({ startedAtMs }: NodeMember): void => {
    if (startedAtMs >= section.self.startedAtMs) updateSelf({ startedAtMs: startedAtMs + 1 });
  };
  /** Takes over what an earlier process of this host published, from the store or a peer. */
  const applyEarlierSelf = (record: NodeMember, source: string): void => {
    const { incarnation, startedAtMs, revision, target } = record;
    if (isAlteredCopy(record, section.self)) replaceRecord(record);
    if (!isHistoryNews(record, section.self)) return;
    const { previousTarget, previousOrder } = section;
    const isNewer = isNewerMember(record, previousOrder);
    section.previousTarget = isNewer
      ? mergePublishedTargets(target, previousTarget)
      : mergePublishedTargets(previousTarget, target);
    if (isNewer) section.previousOrder = { startedAtMs, revision };
    const inputs = { startedAtMs, revision, target: target?.id, phase: target?.phase, isNewer, source };
    board.post('decisions', { kind: 'memberChanged', outcome: 'record of an earlier process', inputs });
    // A late write of the earlier process took the place of this one's record.
    if (source === STORE_SOURCE && hasWritten) setWrittenRevision(-1);
    // The wall clock may have been set back since the earlier process started.
    if (incarnation !== section.self.incarnation) replaceRecord(record);
  };
  const remove = (host: string, reason: string): boolean => {
    const known = section.byHost.get(host);
    if (known === undefined) return false;
    section.byHost.delete(host);
    replaceInDigest(known, undefined);
    board.post('decisions', { kind: 'memberChanged', outcome: 'removed', inputs: { host, reason } });
    return true;
  };
  /** Deletes the store record of an earlier host at this node's address. */
  const removePredecessor = (host: string): void => {
    if (removedPredecessors.has(host)) return;
    removedPredecessors.add(host);
    const begun = board.read('store').era;
    io.dropMember(host, (outcome) => {
      if (!isInStore(outcome, begun)) retryRemoval(host);
      const inputs = { host, address: section.self.linkAddress };
      board.post('decisions', {
        kind: 'memberChanged',
        outcome: `tombstone for the earlier host at this address: ${outcome.type}`,
        inputs,
      });
    });
  };
  const retryRemoval = (host: string): void => {
    removedPredecessors.delete(host);
    clock.schedule(WRITE_RETRY_MS * (0.5 + random()), () => {
      if (!isStopped) removePredecessor(host);
    });
  };
  /** Of two hosts with the same address, only the one started last can exist. True if the given one may be added. */
  const resolveAddressConflict = (record: NodeMember): boolean => {
    const { self } = section;
    if (record.linkAddress === self.linkAddress) {
      removePredecessor(record.host);
      // The others would go on believing the record, or remove this host because of it.
      replaceRecord(record);
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
    if (!isNewerMember(record, known) || !resolveAddressConflict(record)) return false;
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
  /** Handles a deletion in the store. A node whose own record was deleted writes it again. */
  const removeDeleted = (host: string): void => {
    if (host === section.self.host) setWrittenRevision(-1);
    else if (remove(host, 'its record was deleted')) members.publishChange();
  };
  const recordComplete = (): void => {
    section.isComplete = true;
    section.completeAtMs = clock.now();
    // What waits for the history of this host goes on then, although some peers have not responded.
    clock.schedule(LINK_WAIT_MS + 1, () => {
      members.publishChange();
      writeSelf();
    });
  };
  /** Returns the records that were new. */
  const applyRecords = (records: readonly NodeMember[], source: string, isComplete: boolean): NodeMember[] => {
    const ownRevision = section.self.revision;
    const changed = records.filter((record) => {
      try {
        return applyRecord(record, source);
      } catch (error) {
        reportInternalError(board, { unit: 'store record', error });
        return false;
      }
    });
    const isOwnChanged = section.self.revision !== ownRevision;
    const hasChanged = changed.length > 0 || isOwnChanged || (isComplete && !section.isComplete);
    if (isComplete && !section.isComplete) recordComplete();
    if (hasChanged) members.publishChange();
    writeSelf();
    return changed;
  };
  const reportMalformed = (records: readonly KeyedRecord[]): void => {
    for (const { key, value, offset } of records) {
      if (value === undefined || validator.isValid(value)) continue;
      const [fault] = validator.listFaults(value);
      const inputs = { host: key, offset, path: fault?.path, found: fault?.found };
      board.post('decisions', { kind: 'faultFound', outcome: 'malformed member record', inputs });
    }
  };
  /** A malformed record under the key of this host took the place of its own record, which is then written again. */
  const checkOwnKey = (records: readonly KeyedRecord[]): void => {
    for (const { key, value } of records)
      if (key === section.self.host && value !== undefined && !validator.isValid(value)) setWrittenRevision(-1);
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
    updateSelf({ target: post.target });
    members.publishChange();
    writeSelf();
  });
  return {
    start: () => {
      for (const delayMs of [RESTORE_WAIT_MS + 1, FIRST_WRITE_WAIT_MS]) clock.schedule(delayMs, writeSelf);
      board.subscribe('links', writeSelf);
      board.subscribe('links', durability.check);
      board.subscribe('store', handleNewEra);
      stopWatcher = startTopicWatcher(context, {
        topic: io.memberTopic,
        getPauseMs: () => (isStoreReadByFew(section.byHost) ? LARGE_FLEET_READ_PAUSE_MS : READ_PAUSE_MS),
        getWaitMs: () => (readReaderPlace(board, clock.now()) === undefined ? undefined : READ_WAIT_MS),
        apply: (records, isComplete) => {
          for (const { key, value } of records) if (value === undefined) removeDeleted(key);
          const values = records.map(({ value }) => value).filter((value) => validator.isValid(value));
          reportMalformed(records);
          checkOwnKey(records);
          const changed = applyRecords(values, STORE_SOURCE, isComplete);
          if (!isComplete) forwardChanges(changed);
        },
        reportRead: updateStoreState,
        name: 'members',
      });
    },
    stop: () => {
      isStopped = true;
      stopWatcher();
    },
  };
}
