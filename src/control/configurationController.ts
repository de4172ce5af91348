import { scheduleRepeated } from '../core/clock.js';
import type { CancelScheduled } from '../core/clock.js';
import { formatCanonical } from '../policy/canonicalJson.js';
import { validateServiceDocument } from '../policy/configurationFold.js';
import type { PublishedDocument, Verdict } from '../policy/configurationFold.js';
import { applyPage, applyPeerState, createLogReader } from '../policy/logReader.js';
import type { SnapshotVerdict } from '../policy/logReader.js';
import { computeVersionsDigest } from '../policy/versionsDigest.js';
import type { AcceptedDocument, LogPage } from '../schema/logRecord.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { Controller, ControllerContext } from './context.js';
import { createLogPoller } from './logPoller.js';
import { createSnapshotWriter } from './snapshotWriter.js';
import { createDocumentSync } from './documentSync.js';

const TICK_INTERVAL_MS = 1000;
/** A node that has just started knows few members and would wrongly select itself as a gateway. */
const SETTLE_PERIOD_MS = 2000;
/**
 * With its jitter of up to 25% the interval stays below 7 s, within which a change must be in force even if its
 * broadcast was lost.
 */
const DIGEST_INTERVAL_MS = 5000;

/** Writes the documents in force, which it receives from the platform's log and from peers. */
export function createConfigurationController(context: ControllerContext): Controller {
  const { board, clock, random, settings } = context;
  const configuration = board.claim('configuration', 'configurationController');
  const { section } = configuration;
  const { services } = section;
  const documentSync = createDocumentSync(context);
  const reader = createLogReader();
  let isReading = false;
  let startedMs = 0;
  let nextDigestMs = 0;
  let stopTimer: CancelScheduled = () => undefined;

  const applyDocument = (service: string, folded: PublishedDocument, options: { isFromLog: boolean }): boolean => {
    const current = services.get(service);
    if ((current?.version ?? 0) > folded.version) return false;
    // A document from the log replaces a peer's copy of the same version, but not the other way round.
    const isSame = current?.version === folded.version;
    if (isSame && (!options.isFromLog || formatCanonical(current.document) === formatCanonical(folded.document))) {
      return false;
    }
    services.set(service, { ...folded });
    board.post('events', { kind: 'configurationApplied', service, data: { version: folded.version } });
    return true;
  };
  /** True if this node has read the log up to the version of a peer's document and did not find that version there. */
  const hasConflict = ({ service, version }: AcceptedDocument): boolean => {
    if (!reader.isComplete || version > reader.state.appliedOffset) return false;
    return version > (reader.state.documents.get(service)?.version ?? 0);
  };
  const applyDocuments = (documents: readonly AcceptedDocument[], from: string | undefined): void => {
    const changed: string[] = [];
    for (const accepted of documents) {
      const { service, version, changeId, operator } = accepted;
      if (version <= (services.get(service)?.version ?? 0)) continue;
      if (validateServiceDocument(service, accepted.document).length > 0 || hasConflict(accepted)) {
        board.post('events', { kind: 'configurationRejected', service, data: { version, from: from ?? '' } });
        continue;
      }
      const document = accepted.document as ServiceConfiguration;
      if (applyDocument(service, { version, changeId, operator, document }, { isFromLog: false }))
        changed.push(service);
    }
    if (changed.length === 0) return;
    configuration.publishChange();
    documentSync.broadcastDocuments(changed, from === undefined ? {} : { except: from });
  };
  /** Records the log offset up to which the versions in force here are complete, as reported by a gateway. */
  const recordComplete = (digest: string, upTo: number): void => {
    const { complete } = section;
    if (upTo === 0 || digest !== computeVersionsDigest(services)) return;
    if (complete.digest === digest && complete.upTo >= upTo) return;
    Object.assign(complete, { digest, upTo });
    restoreFromPeerState();
  };
  configuration.handlePosts((post) => {
    if ('documents' in post) applyDocuments(post.documents, post.from);
    else {
      recordComplete(post.digest.digest, post.digest.completeUpTo);
      documentSync.handleDigest(post.digest, post.respond);
    }
  });

  const handlePage = (page: LogPage): string | undefined => {
    const outcome = applyPage(reader, page, { knownVersions: services, self: settings.host });
    if (outcome.type === 'restarted') return outcome.message;
    applyOutcome(outcome.verdicts, outcome.snapshots);
    if (!reader.isComplete) restoreFromPeerState();
    return undefined;
  };
  /**
   * Starts the reader from the documents of peers if they are known to be complete up to the offset of its buffered
   * records.
   */
  const restoreFromPeerState = (): void => {
    const { digest, upTo } = section.complete;
    if (digest !== computeVersionsDigest(services)) return;
    const verdicts = applyPeerState(reader, services, upTo);
    if (verdicts !== undefined) applyOutcome(verdicts, []);
  };
  const applyOutcome = (verdicts: Verdict[], snapshots: SnapshotVerdict[]): void => {
    reportVerdicts(verdicts, snapshots);
    section.log.isComplete = reader.isComplete;
    if (!reader.isComplete) return;
    section.appliedOffset = reader.state.appliedOffset;
    const changed = listAffected(verdicts, snapshots).filter((service) => {
      const folded = reader.state.documents.get(service);
      return folded !== undefined && applyDocument(service, folded, { isFromLog: true });
    });
    if (changed.length > 0) configuration.publishChange();
    documentSync.broadcastDocuments(changed);
    const digest = computeVersionsDigest(services);
    if (digest === computeVersionsDigest(reader.state.documents)) {
      Object.assign(section.complete, { digest, upTo: reader.state.appliedOffset });
    }
  };
  const listAffected = (verdicts: readonly Verdict[], snapshots: readonly SnapshotVerdict[]): string[] => {
    if (snapshots.some(({ type }) => type === 'adopted')) return [...reader.state.documents.keys()];
    const accepted = verdicts.flatMap((verdict) => (verdict.type === 'accepted' ? [verdict.change.service] : []));
    return [...new Set(accepted)];
  };
  const reportVerdicts = (verdicts: readonly Verdict[], snapshots: readonly SnapshotVerdict[]): void => {
    for (const verdict of verdicts) {
      if (verdict.type !== 'rejected') continue;
      const { offset, change, reason } = verdict;
      board.post('events', { kind: 'configurationRejected', service: change.service, data: { offset, reason } });
    }
    for (const { type, offset, author, fault = '' } of snapshots) {
      if (type !== 'wrong') continue;
      if (reader.isComplete) snapshotWriter.refute(offset);
      board.post('events', { kind: 'configurationRejected', data: { snapshot: offset, author, reason: fault } });
    }
  };
  const reportRead = (failure: string | undefined): void => {
    const { log } = section;
    const state = failure === undefined ? 'up' : 'down';
    log.isComplete = reader.isComplete;
    log.lastSnapshotOffset = reader.lastSnapshot?.offset ?? 0;
    log.message = failure ?? '';
    if (log.state === state) return;
    log.state = state;
    log.sinceMs = clock.wallTime();
    board.post('events', { kind: 'logChanged', data: { state, message: log.message } });
  };
  const logPoller = createLogPoller(context, {
    getNextOffset: () => reader.readUpTo + 1,
    handlePage,
    reportRead,
  });
  const snapshotWriter = createSnapshotWriter(context, reader, {
    canWrite: () => isReading && section.log.state === 'up',
    documents: services,
  });

  /** Starts or stops reading the log, which only gateways read. */
  const updateReading = (): void => {
    const isSettled = settings.seeds.length === 0 || clock.now() - startedMs >= SETTLE_PERIOD_MS;
    const shouldRead = isSettled && context.io.readLog !== undefined && board.read('links').isGateway;
    if (shouldRead === isReading) return;
    isReading = shouldRead;
    if (shouldRead) {
      logPoller.start();
      return;
    }
    logPoller.stop();
    Object.assign(section.log, { state: 'unread', sinceMs: clock.wallTime(), message: '' });
  };
  const runTick = (): void => {
    updateReading();
    snapshotWriter.update();
    if (services.size > 0 && clock.now() < nextDigestMs) return;
    // A node without documents compares at every tick, since its peers may already have some.
    nextDigestMs = clock.now() + DIGEST_INTERVAL_MS * (0.75 + 0.5 * random());
    documentSync.sendDigests();
  };
  return {
    start: () => {
      startedMs = clock.now();
      section.log.retentionMs = settings.logRetentionMs;
      section.log.sinceMs = clock.wallTime();
      stopTimer = scheduleRepeated(clock, TICK_INTERVAL_MS, runTick);
      updateReading();
      documentSync.sendDigests();
    },
    stop: () => {
      stopTimer();
      logPoller.stop();
      snapshotWriter.stop();
    },
  };
}
