import { createQuotaLender } from '../../policy/quotaLender.js';
import type { QuotaLender } from '../../policy/quotaLender.js';
import type { QuotaDemand, TokenRequest } from '../../policy/quotaDemand.js';
import { createQuotaPool } from '../../policy/quotaPool.js';
import type { QuotaPool } from '../../policy/quotaPool.js';
import { createMemberCounts } from '../../policy/quotaShare.js';
import type { MemberCounts } from '../../policy/quotaShare.js';
import type { QuotaAskFrame, QuotaGrantFrame } from '../../schema/linkFrame.js';

/** A request that needs a token of its organisation. One of the callbacks is called, unless it is cancelled before. */
export interface QuotaRequest extends TokenRequest {
  grant: () => void;
  refuse: (retryAfterMs: number) => void;
}

/** Tokens used and requests refused so far. */
export interface QuotaCounts {
  granted: number;
  refused: number;
}

/** Quotas of organisations. Empty where no organisation has a limit. */
export interface QuotaSection {
  /** True while some organisation has a limit. */
  isActive: boolean;
  /** Hosts to which a link is needed, since they may become the allocator. */
  candidates: readonly string[];
  members: MemberCounts;
  lender: QuotaLender;
  pool: QuotaPool;
  byOrganisation: Map<string, QuotaDemand<QuotaRequest>>;
  /** Counts by organisation, for the metrics; bounded in number. */
  counts: Map<string, QuotaCounts>;
}

/** Requests to the writer of the quotas. */
export type QuotaPost =
  | { type: 'take'; request: QuotaRequest }
  /** The request no longer waits for a token. */
  | { type: 'cancel'; request: QuotaRequest }
  | { type: 'ask'; host: string; frame: QuotaAskFrame; respond: (grant: QuotaGrantFrame) => void }
  | { type: 'grant'; host: string; frame: QuotaGrantFrame };

/** Creates the section of a starting process. */
export function createQuotaSection(incarnation: string): QuotaSection {
  return {
    isActive: false,
    candidates: [],
    members: createMemberCounts(),
    lender: createQuotaLender(),
    pool: createQuotaPool(incarnation),
    byOrganisation: new Map(),
    counts: new Map(),
  };
}
