import type { Scenario } from '../scenario.js';
import { addedLatency } from './addedLatency.js';
import { atMostOnce } from './atMostOnce.js';
import { chainOverload } from './chainOverload.js';
import { churn } from './churn.js';
import { configSpread } from './configSpread.js';
import { controlCost } from './controlCost.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [
  chainOverload,
  atMostOnce,
  addedLatency,
  configSpread,
  churn,
  controlCost,
];
