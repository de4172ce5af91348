import type { Scenario } from '../scenario.js';
import { atMostOnce } from './atMostOnce.js';
import { configRaces } from './configRaces.js';
import { configSpread } from './configSpread.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [atMostOnce, configRaces, configSpread];
