import type { PublishedTarget } from '../../schema/nodeMember.js';
import type { RequestContext } from './context.js';
import type { TargetNotice } from './runPort.js';
import type { TargetState } from './targetState.js';

/** Change of a named limit, as a share of it, below which nobody but this node has to know. */
const NOTABLE_RATE_CHANGE = 0.1;

/** Keeps the limit that the local target names in its answers. */
export interface TargetRate {
  /** Forgets the limit, since it was that of another target. */
  reset(): void;
  /** Takes over the limit that the target named to an earlier process of this node. */
  restore(previous: PublishedTarget): void;
  /** Takes over what an answer to a request that was sent at `sentAtMs` says of the limit. */
  observe(notice: TargetNotice, sentAtMs: number): void;
}

/** Creates the part of the target's state that concerns its limit; calls `publish` when others have to know of it. */
export function createTargetRate(
  { board, clock }: RequestContext,
  { section, publish }: { section: TargetState; publish: () => void },
): TargetRate {
  /** The limit that other nodes know. */
  let publishedRate: number | undefined;
  let unreadableLimit: string | undefined;

  const reportUnreadable = (limit: string | undefined): void => {
    if (limit !== undefined && limit !== unreadableLimit) {
      const inputs = { target: section.id, limit };
      board.post('decisions', { kind: 'faultFound', outcome: 'unreadable limit', inputs });
    }
    unreadableLimit = limit;
  };
  /** Only an answer to a request that was sent after the limit was named lifts it: one that was given earlier may arrive late. */
  const update = (ratePerSecond: number | undefined, sentAtMs: number): void => {
    const previous = section.ratePerSecond;
    if (ratePerSecond !== undefined) section.rateNamedAtMs = clock.now();
    else if (sentAtMs <= section.rateNamedAtMs) return;
    section.ratePerSecond = ratePerSecond;
    if (!isNotableChange(publishedRate, ratePerSecond)) return;
    publishedRate = ratePerSecond;
    const outcome = ratePerSecond === undefined ? 'limit lifted' : 'limit named';
    board.post('decisions', {
      kind: 'targetChanged',
      outcome,
      inputs: { target: section.id, ratePerSecond, previous },
    });
    publish();
  };
  return {
    reset: () => {
      section.ratePerSecond = undefined;
      publishedRate = undefined;
    },
    restore: ({ ratePerSecond }) => {
      section.ratePerSecond = ratePerSecond;
      section.rateNamedAtMs = clock.now();
      publishedRate = ratePerSecond;
    },
    observe: ({ ratePerSecond, unreadableLimit: unreadable }, sentAtMs) => {
      reportUnreadable(unreadable);
      if (ratePerSecond !== undefined || unreadable === undefined) update(ratePerSecond, sentAtMs);
    },
  };
}

/** True when the limit of a target was named, lifted or changed by much. */
function isNotableChange(previous: number | undefined, next: number | undefined): boolean {
  if (previous === undefined || next === undefined) return previous !== next;
  return Math.abs(next - previous) > NOTABLE_RATE_CHANGE * previous;
}
