import { changeRecordSchema } from '../schema/logRecord.js';
import type { ChangeRecord, LogEntry } from '../schema/logRecord.js';
import { validateServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { Fault } from '../schema/failure.js';
import { compileSchema, formatFault } from '../schema/validate.js';

/**
 * Number of offsets for which decided change ids are kept. Evicting an id cannot change which version is in force: the
 * base version of a repeated change has been replaced, and versions only increase. Its verdict only becomes `rejected`
 * instead of `repeated`. At 1,700 changes a day, 4,096 offsets last more than two days.
 */
export const DECISION_RETENTION_OFFSETS = 4096;
/** Bounds the memory of every node; deployments of up to 200 services are expected. */
export const MAX_SERVICES = 1024;

/** An accepted document with the change that set it. */
export interface PublishedDocument {
  version: number;
  changeId: string;
  operator: string;
  document: ServiceConfiguration;
}

/** First decision on a change id. */
export interface Decision {
  offset: number;
  isAccepted: boolean;
}

/** A version that has been replaced by a later one. */
export interface ReplacedVersion {
  service: string;
  version: number;
  changeId: string;
  replacedAtOffset: number;
}

/** State of the configuration after all log records up to an offset are applied. */
export interface FoldState {
  appliedOffset: number;
  documents: Map<string, PublishedDocument>;
  /** Change ids decided within the last `DECISION_RETENTION_OFFSETS` offsets, in log order. */
  decided: Map<string, Decision>;
  /**
   * Versions replaced within the last `DECISION_RETENTION_OFFSETS` offsets, in log order; used to verify snapshots of
   * an earlier state.
   */
  replaced: ReplacedVersion[];
}

/** What the fold decided on a record, with the reason where it was not accepted. */
export type Verdict =
  | { type: 'accepted'; offset: number; change: ChangeRecord }
  /** `winner` is the version in force, if the service has one. */
  | { type: 'rejected'; offset: number; change: ChangeRecord; reason: string; winner?: PublishedDocument }
  | { type: 'repeated'; offset: number; change: ChangeRecord; first: Decision }
  | { type: 'ignored'; offset: number };

const changeValidator = compileSchema(changeRecordSchema);

/** Creates the state before the first log record. */
export function createFoldState(): FoldState {
  return { appliedOffset: 0, documents: new Map(), decided: new Map(), replaced: [] };
}

/**
 * Applies one log record. The verdict depends only on the records up to this one, so all readers reach the same
 * verdict.
 *
 * @example
 * const verdict = applyEntry(state, entry);
 * if (verdict.type === 'accepted') publishDocument(verdict.change.service);
 */
export function applyEntry(state: FoldState, entry: LogEntry): Verdict {
  const { offset, value } = entry;
  if (offset <= state.appliedOffset) return { type: 'ignored', offset };
  state.appliedOffset = offset;
  evictOldDecisions(state);
  // A base version at or after the record's own offset is invalid, since no operator can have read it. If such a record
  // were decided, a later repetition of it could be accepted by readers that do not have its change id: those that
  // evicted it, or that restored their state from a peer.
  if (!changeValidator.isValid(value) || value.baseVersion >= offset) return { type: 'ignored', offset };
  return applyChange(state, offset, value);
}

function applyChange(state: FoldState, offset: number, change: ChangeRecord): Verdict {
  const first = state.decided.get(change.changeId);
  if (first !== undefined) return { type: 'repeated', offset, change, first };
  const current = state.documents.get(change.service);
  const reason = findVersionConflict(change, current) ?? findFault(state, change);
  state.decided.set(change.changeId, { offset, isAccepted: reason === undefined });
  if (reason !== undefined) {
    return { type: 'rejected', offset, change, reason, ...(current === undefined ? {} : { winner: current }) };
  }
  if (current !== undefined) {
    const { version, changeId } = current;
    state.replaced.push({ service: change.service, version, changeId, replacedAtOffset: offset });
  }
  const { changeId, operator } = change;
  const document = change.document as ServiceConfiguration;
  state.documents.set(change.service, { version: offset, changeId, operator, document });
  return { type: 'accepted', offset, change };
}

function findVersionConflict(change: ChangeRecord, current: PublishedDocument | undefined): string | undefined {
  if (change.baseVersion === (current?.version ?? 0)) return undefined;
  if (current === undefined)
    return `the change is based on version ${change.baseVersion}, but the service has no version yet`;
  const { version, changeId, operator } = current;
  return `the change is based on version ${change.baseVersion}, but version ${version} (change ${changeId} by ${operator}) is in force`;
}

function findFault(state: FoldState, change: ChangeRecord): string | undefined {
  const faults = validateServiceDocument(change.service, change.document);
  if (faults.length > 0) return faults.map(formatFault).join('; ');
  if (state.documents.has(change.service) || state.documents.size < MAX_SERVICES) return undefined;
  return `the service is new, but the maximum of ${MAX_SERVICES} services is reached`;
}

/**
 * Validates the document of a service.
 *
 * @example
 * const faults = validateServiceDocument('contracts', document);
 */
export function validateServiceDocument(service: string, document: unknown): Fault[] {
  const faults = validateServiceConfiguration(document);
  if (faults.length > 0) return faults;
  const named = (document as ServiceConfiguration).service;
  return named === service ? [] : [{ path: 'service', found: `"${named}"`, allowed: `"${service}"` }];
}

function evictOldDecisions(state: FoldState): void {
  const evictUpTo = state.appliedOffset - DECISION_RETENTION_OFFSETS;
  for (const [changeId, { offset }] of state.decided) {
    if (offset > evictUpTo) break;
    state.decided.delete(changeId);
  }
  while ((state.replaced[0]?.replacedAtOffset ?? Infinity) <= evictUpTo) state.replaced.shift();
}
