/** Work that one request of a route causes at each service (ms), calls of its runs included. */
export type RouteWork = ReadonlyMap<string, number>;

/** What the work of routes is computed from. */
export interface WorkQuestion {
  /** Services of a route with the share of its requests that each gets. */
  listParts: (route: string) => readonly { service: string; share: number }[];
  /** Calls per run of a route at a service. */
  listCalls: (service: string, route: string) => readonly { called: string; perRun: number }[];
  /** Mean duration of a run of a route at a service (ms). */
  getDuration: (service: string, route: string) => number;
}

/**
 * Creates the function that computes how much run time (ms) one request of a route takes at each service, its own and that
 * of the calls below it. Each route is computed once; a call back to a route above it is left out, since estimates of calls
 * may be wrong and must not be followed in circles.
 *
 * @example
 * const computeWork = createWorkComputation(question);
 * computeWork('lookup').get('stock'); // 80
 */
export function createWorkEstimator(question: WorkQuestion): (route: string) => RouteWork {
  const known = new Map<string, RouteWork>();
  const above = new Set<string>();

  const computeWork = (route: string): RouteWork => {
    const found = known.get(route);
    if (found !== undefined) return found;
    const work = new Map<string, number>();
    const addWork = (service: string, ms: number): void => {
      work.set(service, (work.get(service) ?? 0) + ms);
    };
    above.add(route);
    for (const { service, share } of question.listParts(route)) {
      addWork(service, share * question.getDuration(service, route));
      for (const { called, perRun } of question.listCalls(service, route)) {
        if (above.has(called)) continue;
        for (const [below, ms] of computeWork(called)) addWork(below, share * perRun * ms);
      }
    }
    above.delete(route);
    known.set(route, work);
    return work;
  };
  return computeWork;
}
