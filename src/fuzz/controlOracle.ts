/** The fields of a change that the rules of the oracle need. */
interface OracleChange {
  kind?: unknown;
  changeId?: unknown;
  service?: unknown;
  baseVersion?: unknown;
  document?: unknown;
  /** Set by the generator if it made the document invalid on purpose. */
  isBroken?: unknown;
}

export interface AcceptedChange {
  version: number;
  service: string;
  documentJson: string;
}

/**
 * Lists the accepted changes of a log. Only the first record of each change id counts; it is accepted if its base is the
 * newest accepted version of its service. A base version that is not older than the record itself makes the record
 * malformed, since no operator can have read it; it does not count at all. Deliberately independent of the configuration
 * fold in `policy/configurationFold`, which the suite checks.
 */
export function listAccepted(records: readonly { offset: number; value: unknown }[]): AcceptedChange[] {
  const accepted: AcceptedChange[] = [];
  const seenChangeIds: unknown[] = [];
  for (const { offset, value } of records) {
    if (typeof value !== 'object' || value === null) continue;
    const { kind, changeId, service, baseVersion, document, isBroken } = value as OracleChange;
    const isChange = kind === 'change' && typeof service === 'string' && typeof baseVersion === 'number';
    if (!isChange || baseVersion >= offset || seenChangeIds.includes(changeId)) continue;
    seenChangeIds.push(changeId);
    const last = accepted.filter((change) => change.service === service).at(-1);
    if (isBroken === true || baseVersion !== (last?.version ?? 0)) continue;
    accepted.push({ version: offset, service, documentJson: JSON.stringify(document) });
  }
  return accepted;
}
