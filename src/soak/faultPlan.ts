import { createRandom, generateExponential } from '../core/random.js';
import { fleetFaultSchema, scenarioSchema, senderFaultSchema } from './soakTypes.js';
import type { FaultKind, PlannedFault } from './soakTypes.js';

/** Mean time between the starts of two faults; shorter than most faults, so that they overlap. */
const MEAN_INTERVAL_MS = 900;
/** Mean time between the starts of two faults of senders. */
const MEAN_SENDER_INTERVAL_MS = 2500;
/** Mean time between the starts of two scenarios, of which one runs at a time. */
const MEAN_SCENARIO_INTERVAL_MS = 8000;
/** Time that a scenario may take; it ends before the recovery is checked. */
const MAX_SCENARIO_MS = 12_000;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 2500;
/** Time from the start of the load to the first fault. */
const FIRST_FAULT_AT_MS = 1500;
/** Time without faults at the end of a run, in which the fleet recovers. */
export const RECOVERY_MS = 6000;

export interface FaultPlanOptions {
  seed: number;
  hosts: readonly string[];
  durationMs: number;
}

/**
 * Generates a series of overlapping faults; the same seed gives the same series.
 *
 * @example
 * const plan = createFaultPlan({ seed: 7, hosts: ['a1', 'a2'], durationMs: 30_000 });
 */
export function createFaultPlan(options: FaultPlanOptions): PlannedFault[] {
  const fleetKinds = fleetFaultSchema.anyOf.map((literal) => literal.const);
  const senderKinds = senderFaultSchema.anyOf.map((literal) => literal.const);
  // A series of its own, so that a seed keeps the faults of the fleet that it had before there were senders.
  const senderSeries = { ...options, seed: ~options.seed, meanIntervalMs: MEAN_SENDER_INTERVAL_MS };
  const scenarioKinds = scenarioSchema.anyOf.map((literal) => literal.const);
  const scenarioSeries = { ...options, seed: options.seed + 1, meanIntervalMs: MEAN_SCENARIO_INTERVAL_MS };
  return [
    ...createSeries(fleetKinds, { ...options, meanIntervalMs: MEAN_INTERVAL_MS }),
    ...createSeries(senderKinds, senderSeries),
    ...createSeries(scenarioKinds, { ...scenarioSeries, maxFaultMs: MAX_SCENARIO_MS }),
  ].sort((left, right) => left.atMs - right.atMs);
}

function createSeries(
  kinds: readonly FaultKind[],
  options: FaultPlanOptions & { meanIntervalMs: number; maxFaultMs?: number },
): PlannedFault[] {
  const { seed, hosts, durationMs, meanIntervalMs, maxFaultMs = MAX_FAULT_MS } = options;
  const random = createRandom(seed);
  const plan: PlannedFault[] = [];
  const lastMs = durationMs - RECOVERY_MS - maxFaultMs;
  let atMs = FIRST_FAULT_AT_MS;
  while (atMs < lastMs) {
    plan.push({
      atMs: Math.round(atMs),
      kind: kinds[Math.floor(random() * kinds.length)] ?? 'publish',
      host: hosts[Math.floor(random() * hosts.length)] ?? '',
      durationMs: Math.round(MIN_FAULT_MS + random() * (maxFaultMs - MIN_FAULT_MS)),
    });
    atMs += generateExponential(random, meanIntervalMs);
  }
  return plan;
}
