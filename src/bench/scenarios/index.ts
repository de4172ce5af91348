import { configSpread } from './configSpread.js';
import type { Scenario } from '../scenario.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [configSpread];
