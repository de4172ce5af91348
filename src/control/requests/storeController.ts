import { isNewEra } from '../../policy/storeEra.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Writes the era of the platform's store: the highest one that this node heard of, from the store or a peer. */
export function createStoreController({ board }: RequestContext): Controller {
  const store = board.claim('store', 'storeController');
  store.handlePosts(({ era, source }) => {
    const { section } = store;
    if (!isNewEra(era, section.era)) return;
    const inputs = { era, previous: section.era, source };
    section.era = era;
    board.post('decisions', { kind: 'storeChanged', outcome: `era ${era}`, inputs });
    store.publishChange();
  });
  return { start: () => undefined, stop: () => undefined };
}
