import { computeTokenWait } from '../../policy/quotaDemand.js';
import { isQuotaLimited } from '../../policy/quotaLimits.js';
import type { Refusal } from '../../schema/refusal.js';
import type { RequestContext } from './context.js';
import type { Entry } from './entry.js';
import type { QuotaRequest } from './quotaSection.js';

/** The requests at this node that wait for a token of their organisation's quota. */
export interface EntryQuota {
  /** Sends a request once it has its token, or refuses it; at once where its organisation has no limit. */
  takeToken(entry: Entry): void;
  /** Stops waiting, since the request has ended. */
  cancel(entry: Entry): void;
  /** Keeps a part of the body of a waiting request; returns false if the request does not wait. */
  retainBody(entry: Entry, data: Uint8Array, isLast: boolean): boolean;
}

interface WaitingEntry {
  request: QuotaRequest;
  parts: { data: Uint8Array; isLast: boolean }[];
}

/** Creates the waiting side of quotas at the entry node. */
export function createEntryQuota(
  { board, clock }: RequestContext,
  callbacks: { send: (entry: Entry) => void; refuse: (entry: Entry, refusal: Refusal) => void },
): EntryQuota {
  const waiting = new Map<Entry, WaitingEntry>();

  const send = (entry: Entry): void => {
    const parts = waiting.get(entry)?.parts ?? [];
    waiting.delete(entry);
    callbacks.send(entry);
    for (const { data, isLast } of parts) entry.attempt?.handle?.sendBody(data, isLast);
  };
  return {
    takeToken: (entry) => {
      const { organisation, priority, deadlineAtMs } = entry;
      if (organisation === undefined || !isQuotaLimited(organisation)) {
        callbacks.send(entry);
        return;
      }
      const nowMs = clock.now();
      const request: QuotaRequest = {
        organisation: organisation.name,
        priority,
        waitUntilMs: nowMs + computeTokenWait(deadlineAtMs - nowMs),
        grant: () => {
          send(entry);
        },
        refuse: (retryAfterMs) => {
          waiting.delete(entry);
          const detail = `${organisation.name} is beyond its quota of ${organisation.ratePerSecond ?? 0}/s`;
          callbacks.refuse(entry, { kind: 'quotaExceeded', detail, retryAfterMs });
        },
      };
      waiting.set(entry, { request, parts: [] });
      board.post('quotas', { type: 'take', request });
    },
    cancel: (entry) => {
      const request = waiting.get(entry)?.request;
      if (request === undefined) return;
      waiting.delete(entry);
      board.post('quotas', { type: 'cancel', request });
    },
    retainBody: (entry, data, isLast) => {
      const held = waiting.get(entry);
      held?.parts.push({ data, isLast });
      return held !== undefined;
    },
  };
}
