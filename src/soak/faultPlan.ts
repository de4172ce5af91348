import { createRandom, generateExponential } from '../core/random.js';
import { faultKindSchema } from './soakTypes.js';
import type { FaultKind, PlannedFault } from './soakTypes.js';

/** Mean time between faults (ms); they overlap, since each lasts as long. */
const MEAN_PAUSE_MS = 900;
const LEAST_FAULT_MS = 300;
const LONGEST_FAULT_MS = 2500;
/** Calm time at both ends, in which recovery is seen (ms). */
const CALM_START_MS = 1500;
export const CALM_END_MS = 6000;

/**
 * Draws a series of overlapping faults from a seed.
 *
 * @example
 * const plan = createFaultPlan({ seed: 7, hosts: ['a1', 'a2'], durationMs: 30_000 });
 */
export function createFaultPlan(options: {
  seed: number;
  hosts: readonly string[];
  durationMs: number;
}): PlannedFault[] {
  const { seed, hosts, durationMs } = options;
  const random = createRandom(seed);
  const kinds = faultKindSchema.anyOf.map((literal) => literal.const) as FaultKind[];
  const plan: PlannedFault[] = [];
  const lastMs = durationMs - CALM_END_MS - LONGEST_FAULT_MS;
  let atMs = CALM_START_MS;
  while (atMs < lastMs) {
    plan.push({
      atMs: Math.round(atMs),
      kind: kinds[Math.floor(random() * kinds.length)] ?? 'publish',
      host: hosts[Math.floor(random() * hosts.length)] ?? '',
      forMs: Math.round(LEAST_FAULT_MS + random() * (LONGEST_FAULT_MS - LEAST_FAULT_MS)),
    });
    atMs += generateExponential(random, MEAN_PAUSE_MS);
  }
  return plan;
}
