import type { Scenario } from '../scenario.js';
import { chainOverload } from './chainOverload.js';

/** All benches, in the order of the list. */
export const scenarios: readonly Scenario[] = [chainOverload];
