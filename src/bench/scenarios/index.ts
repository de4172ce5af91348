import type { Scenario } from '../scenario.js';
import { churn } from './churn.js';
import { controlCost } from './controlCost.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [churn, controlCost];
