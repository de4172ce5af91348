import { addedLatency } from './addedLatency.js';
import type { Scenario } from '../scenario.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [addedLatency];
