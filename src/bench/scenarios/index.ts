import type { Scenario } from '../scenario.js';
import { atMostOnce } from './atMostOnce.js';
import { churn } from './churn.js';
import { configSpread } from './configSpread.js';
import { controlCost } from './controlCost.js';
import { crashingRequest } from './crashingRequest.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [atMostOnce, crashingRequest, configSpread, churn, controlCost];
