import type { Profile } from '../schema/linkFrame.js';

/** The durations that the node of one target reports. */
export interface TargetDurations {
  host: string;
  durations: Profile['durations'];
}

/** Expected run durations at the targets of one service. */
export interface ServiceSpeeds {
  /** Mean duration of a run over all routes (ms). */
  meanMs: number;
  /** Mean duration of a run, by route (ms). */
  meanMsByRoute: ReadonlyMap<string, number>;
  /** By host of the target. */
  byHost: ReadonlyMap<string, TargetSpeed>;
}

/** How fast a target runs requests, compared with the other targets of its service. */
export interface TargetSpeed {
  /** Duration of a run relative to the mean of its route. */
  slowness: number;
  /** Number of recent runs from which it was estimated; each one counts less as it ages. */
  samples: number;
}

/** Duration assumed while no target has reported one (ms). */
const DEFAULT_DURATION_MS = 20;
/**
 * Number of samples with mean duration that are assumed for each target, so that a few samples do not decide and old
 * ones lose their influence.
 */
const ASSUMED_SAMPLES = 3;
/** Samples assumed for a route of a report without a sample count. */
const DEFAULT_SAMPLES = 1;

/**
 * Compares the targets of a service by route, so that a target is not considered slow because its recent requests were
 * of a long route.
 *
 * @example
 * const speeds = estimateSpeeds([{ host: 'a1', durations: [{ route: 'check', meanMs: 40, leastMs: 40, samples: 9 }] }]);
 * speeds.byHost.get('a1'); // { slowness: 1, samples: 9 }
 */
export function estimateSpeeds(targets: readonly TargetDurations[]): ServiceSpeeds {
  const meanMsByRoute = computeRouteMeans(targets);
  const byHost = new Map(targets.map(({ host, durations }) => [host, computeSpeed(durations, meanMsByRoute)]));
  return { meanMs: computeServiceMean(targets, meanMsByRoute), meanMsByRoute, byHost };
}

/** Creates the speeds of a service without reports. */
export function createDefaultSpeeds(): ServiceSpeeds {
  return { meanMs: DEFAULT_DURATION_MS, meanMsByRoute: new Map(), byHost: new Map() };
}

function computeRouteMeans(targets: readonly TargetDurations[]): Map<string, number> {
  const sums = new Map<string, { weightedMs: number; samples: number }>();
  for (const { durations } of targets) {
    for (const { route, meanMs, samples = DEFAULT_SAMPLES } of durations) {
      const sum = sums.get(route) ?? { weightedMs: 0, samples: 0 };
      // Routes whose samples have all aged keep their last mean.
      const weight = samples + Number.EPSILON;
      sum.weightedMs += weight * meanMs;
      sum.samples += weight;
      sums.set(route, sum);
    }
  }
  return new Map([...sums].map(([route, { weightedMs, samples }]) => [route, Math.max(1, weightedMs / samples)]));
}

function computeSpeed(durations: Profile['durations'], meanMsByRoute: ReadonlyMap<string, number>): TargetSpeed {
  let ratios = ASSUMED_SAMPLES;
  let count = 0;
  for (const { route, meanMs, samples = DEFAULT_SAMPLES } of durations) {
    ratios += samples * (meanMs / (meanMsByRoute.get(route) ?? meanMs));
    count += samples;
  }
  return { slowness: ratios / (ASSUMED_SAMPLES + count), samples: count };
}

function computeServiceMean(targets: readonly TargetDurations[], meanMsByRoute: ReadonlyMap<string, number>): number {
  let weightedMs = 0;
  let count = 0;
  for (const { durations } of targets) {
    for (const { route, samples = DEFAULT_SAMPLES } of durations) {
      const weight = samples + Number.EPSILON;
      weightedMs += weight * (meanMsByRoute.get(route) ?? DEFAULT_DURATION_MS);
      count += weight;
    }
  }
  return count === 0 ? DEFAULT_DURATION_MS : weightedMs / count;
}
