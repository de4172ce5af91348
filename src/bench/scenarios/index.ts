import type { Scenario } from '../scenario.js';
import { chainOverload } from './chainOverload.js';
import { lowPriorityFlood, urgentFlood } from './floods.js';
import { recovery } from './recovery.js';
import { retryBound } from './retryBound.js';
import { unequalTargets } from './unequalTargets.js';

/** All benches, in the order of the list. */
// prettier-ignore
export const scenarios: readonly Scenario[] = [
  chainOverload,
  recovery,
  lowPriorityFlood,
  urgentFlood,
  retryBound,
  unequalTargets,
];
