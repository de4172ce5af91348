import { changeRecordSchema } from '../schema/logRecord.js';
import type { ChangeRecord, LogEntry } from '../schema/logRecord.js';
import { validateServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import { compileSchema, formatFault } from '../schema/validate.js';

/** An accepted document and where it came from. */
export interface FoldedDocument {
  version: number;
  changeId: string;
  operator: string;
  document: ServiceConfiguration;
}

/** The state of the configuration after a prefix of the log. */
export interface FoldState {
  appliedOffset: number;
  documents: Map<string, FoldedDocument>;
  /** Change ids already decided, with the offset that decided them. */
  decided: Map<string, number>;
}

export type Verdict =
  | { type: 'accepted'; offset: number; change: ChangeRecord }
  | { type: 'rejected'; offset: number; change: ChangeRecord; reason: string; winner?: FoldedDocument }
  | { type: 'repeated'; offset: number; change: ChangeRecord; decidedAt: number }
  | { type: 'ignored'; offset: number };

const changeValidator = compileSchema(changeRecordSchema);

/** Creates the state before the first record. */
export function createFoldState(): FoldState {
  return { appliedOffset: 0, documents: new Map(), decided: new Map() };
}

/**
 * Applies one log record. The verdict depends on the records up to this one alone, so all readers reach the same.
 *
 * @example
 * const verdict = applyEntry(state, entry);
 * if (verdict.type === 'accepted') publishDocument(verdict.change.service);
 */
export function applyEntry(state: FoldState, entry: LogEntry): Verdict {
  if (entry.offset <= state.appliedOffset) return { type: 'ignored', offset: entry.offset };
  state.appliedOffset = entry.offset;
  if (!changeValidator.isValid(entry.value)) return { type: 'ignored', offset: entry.offset };
  return applyChange(state, entry.offset, entry.value);
}

function applyChange(state: FoldState, offset: number, change: ChangeRecord): Verdict {
  const decidedAt = state.decided.get(change.changeId);
  if (decidedAt !== undefined) return { type: 'repeated', offset, change, decidedAt };
  state.decided.set(change.changeId, offset);
  const current = state.documents.get(change.service);
  const currentVersion = current?.version ?? 0;
  if (change.baseVersion !== currentVersion) {
    const reason = `version ${change.baseVersion} was edited, but version ${currentVersion} is in force`;
    return { type: 'rejected', offset, change, reason, ...(current === undefined ? {} : { winner: current }) };
  }
  const faults = validateServiceConfiguration(change.document);
  const document = change.document as ServiceConfiguration;
  if (faults.length === 0 && document.service !== change.service) {
    faults.push({ path: 'service', found: `"${document.service}"`, allowed: `"${change.service}"` });
  }
  if (faults.length > 0) {
    return { type: 'rejected', offset, change, reason: faults.map(formatFault).join('; ') };
  }
  const { changeId, operator } = change;
  state.documents.set(change.service, { version: offset, changeId, operator, document });
  return { type: 'accepted', offset, change };
}
