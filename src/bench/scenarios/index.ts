import type { Scenario } from '../scenario.js';
import { addedLatency } from './addedLatency.js';
import { atMostOnce } from './atMostOnce.js';
import { chainOverload } from './chainOverload.js';
import { churn } from './churn.js';
import { configRaces } from './configRaces.js';
import { configSpread } from './configSpread.js';
import { controlCost } from './controlCost.js';
import { crashingRequest } from './crashingRequest.js';
import { lowPriorityFlood, urgentFlood } from './floods.js';
import { recovery } from './recovery.js';
import { retryBound } from './retryBound.js';
import { unequalTargets } from './unequalTargets.js';

/** All scenarios, in the order in which `--list` prints them. */
export const scenarios: readonly Scenario[] = [
  chainOverload,
  recovery,
  lowPriorityFlood,
  urgentFlood,
  unequalTargets,
  retryBound,
  crashingRequest,
  atMostOnce,
  addedLatency,
  configRaces,
  configSpread,
  churn,
  controlCost,
];
