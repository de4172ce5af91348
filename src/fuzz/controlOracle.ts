/** A change as the oracle sees it: only the fields that its plain rules need. */
interface PlainChange {
  kind?: unknown;
  changeId?: unknown;
  service?: unknown;
  baseVersion?: unknown;
  document?: unknown;
  /** Set by the generator on documents that are made invalid on purpose. */
  isBroken?: unknown;
}

export interface AcceptedChange {
  version: number;
  service: string;
  text: string;
}

/**
 * Lists the accepted changes of a log: the first record of each change id wins, and it is accepted when it was edited on
 * the newest accepted version of its service. Shares no code with the fold.
 */
export function listAccepted(records: readonly { offset: number; value: unknown }[]): AcceptedChange[] {
  const accepted: AcceptedChange[] = [];
  const seen: unknown[] = [];
  for (const { offset, value } of records) {
    if (typeof value !== 'object' || value === null) continue;
    const { kind, changeId, service, baseVersion, document, isBroken } = value as PlainChange;
    const isChange = kind === 'change' && typeof service === 'string' && typeof baseVersion === 'number';
    if (!isChange || baseVersion >= offset || seen.includes(changeId)) continue;
    seen.push(changeId);
    const last = accepted.filter((change) => change.service === service).at(-1);
    if (isBroken === true || baseVersion !== (last?.version ?? 0)) continue;
    accepted.push({ version: offset, service, text: JSON.stringify(document) });
  }
  return accepted;
}
