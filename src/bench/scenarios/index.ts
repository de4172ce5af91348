import type { Scenario } from '../scenario.js';
import { atMostOnce } from './atMostOnce.js';
import { chainOverload } from './chainOverload.js';
import { churn } from './churn.js';
import { configSpread } from './configSpread.js';
import { controlCost } from './controlCost.js';
import { lowPriorityFlood, urgentFlood } from './floods.js';
import { recovery } from './recovery.js';
import { retryBound } from './retryBound.js';

/** All benches, in the order of the list. */
// prettier-ignore
export const scenarios: readonly Scenario[] = [
  chainOverload,
  recovery,
  lowPriorityFlood,
  urgentFlood,
  retryBound,
  atMostOnce,
  configSpread,
  churn,
  controlCost,
];
