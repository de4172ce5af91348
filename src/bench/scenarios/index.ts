import type { Scenario } from '../scenario.js';
import { atMostOnce } from './atMostOnce.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [atMostOnce];
