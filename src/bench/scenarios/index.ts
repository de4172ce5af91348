import type { Scenario } from '../scenario.js';
import { atMostOnce } from './atMostOnce.js';
import { crashingRequest } from './crashingRequest.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [atMostOnce, crashingRequest];
