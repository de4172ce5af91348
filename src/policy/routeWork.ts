/** Run time that one request of a route causes at each service (ms), including downstream calls. */
export type RouteWork = ReadonlyMap<string, number>;

/** Sources of the data from which the work of routes is computed. */
export interface WorkInput {
  /** Lists the services of a route with the share of its requests that each gets. */
  listParts: (route: string) => readonly { service: string; share: number }[];
  /** Lists the mean calls per run of a route at a service. */
  listCalls: (service: string, route: string) => readonly { called: string; perRun: number }[];
  /** Returns the mean duration of a run of a route at a service (ms). */
  getDuration: (service: string, route: string) => number;
}

/**
 * Creates a function that computes the run time (ms) that one request of a route takes at each service, including its
 * downstream calls. The result of each route is cached. Calls back to a route that is being computed are left out,
 * since estimated calls may be wrong and form cycles.
 *
 * @example
 * const computeWork = createWorkEstimator(input);
 * computeWork('lookup').get('stock'); // 80
 */
export function createWorkEstimator(input: WorkInput): (route: string) => RouteWork {
  const cache = new Map<string, RouteWork>();
  const ancestors = new Set<string>();

  const computeWork = (route: string): RouteWork => {
    const cached = cache.get(route);
    if (cached !== undefined) return cached;
    const work = new Map<string, number>();
    const addWork = (service: string, ms: number): void => {
      work.set(service, (work.get(service) ?? 0) + ms);
    };
    ancestors.add(route);
    for (const { service, share } of input.listParts(route)) {
      addWork(service, share * input.getDuration(service, route));
      for (const { called, perRun } of input.listCalls(service, route)) {
        if (ancestors.has(called)) continue;
        for (const [downstream, ms] of computeWork(called)) addWork(downstream, share * perRun * ms);
      }
    }
    ancestors.delete(route);
    cache.set(route, work);
    return work;
  };
  return computeWork;
}
