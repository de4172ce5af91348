import type { CallEstimate } from './callGraph.js';

/** The runs that call a route, as estimated at the node beside their target. */
export interface RouteCallers {
  /** Routes of the runs. */
  routes: ReadonlySet<string>;
  /** Estimated share of the requests to the called route that enter here and are calls of these runs. */
  callShare: number;
}

/**
 * Collects the callers of each called route from the estimated calls per run.
 *
 * @param rates Runs started at the local target and requests that entered beside it, by route (per second).
 * @example
 * const callers = collectCallers([{ ran: 'ledger', called: 'scan', perRun: 2 }], {
 *   startedPerSecond: new Map([['ledger', 10]]),
 *   arrivedPerSecond: new Map([['scan', 25]]),
 * });
 * callers.get('scan'); // { routes: new Set(['ledger']), callShare: 0.8 }
 */
export function collectCallers(
  calls: readonly CallEstimate[],
  rates: { startedPerSecond: ReadonlyMap<string, number>; arrivedPerSecond: ReadonlyMap<string, number> },
): Map<string, RouteCallers> {
  const sums = new Map<string, { routes: Set<string>; callsPerSecond: number }>();
  for (const { ran, called, perRun } of calls) {
    const sum = sums.get(called) ?? { routes: new Set<string>(), callsPerSecond: 0 };
    sum.routes.add(ran);
    sum.callsPerSecond += perRun * (rates.startedPerSecond.get(ran) ?? 0);
    sums.set(called, sum);
  }
  return new Map(
    [...sums].map(([called, { routes, callsPerSecond }]) => {
      const arrivedPerSecond = rates.arrivedPerSecond.get(called) ?? 0;
      return [called, { routes, callShare: arrivedPerSecond > 0 ? Math.min(1, callsPerSecond / arrivedPerSecond) : 0 }];
    }),
  );
}

/** A run under way at the local target. Times are monotonic (ms). */
export interface RunUnderWay {
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly deadlineAtMs: number;
}

/**
 * Time by which the time left of a call may exceed that of its run when the call arrives (ms): requests and calls take a
 * while between the node and its target, and both count from when they receive them.
 */
export const MAX_EXCESS_MS = 6;
/** Time by which it may fall below it, due to rounding (ms). */
export const MAX_SHORTFALL_MS = 2;
/** Share of calls from which requests that match no run by their time left count as calls. */
const MIN_CALL_SHARE = 0.5;

/** How the time left of a run compares with that of a request, the best match first. */
const SAME_TIME_LEFT = 0;
const MORE_TIME_LEFT = 1;
const LESS_TIME_LEFT = 2;

/**
 * Finds the run to which a request that entered beside its target belongs, since calls name no parent. It answers a load
 * in which calls of urgent requests wait behind new requests, although most of the work of their trees is done.
 *
 * A call often has exactly the time that its run has left; then that run is the parent. Other requests are calls only if
 * most requests of the route are. Of the runs that have enough time left, the most urgent one counts as their parent.
 *
 * @returns The parent; undefined if the request counts as one of a client.
 * @example
 * const parent = findParentRun({ runs, callers, timeLeftMs: 812, nowMs: clock.now() });
 * const priority = parent?.priority ?? route.priority;
 */
export function findParentRun<Run extends RunUnderWay>(options: {
  runs: Iterable<Run>;
  callers: RouteCallers;
  timeLeftMs: number;
  nowMs: number;
  /** Receives each run and how much more time than the run the request has left (ms). Default: ignores them. */
  observeRun?: (run: Run, excessMs: number) => void;
}): Run | undefined {
  const { runs, callers, timeLeftMs, nowMs, observeRun } = options;
  let parent: Run | undefined;
  let priority = Infinity;
  let fit = callers.callShare < MIN_CALL_SHARE ? SAME_TIME_LEFT : LESS_TIME_LEFT;
  for (const run of runs) {
    const excessMs = timeLeftMs - (run.deadlineAtMs - nowMs);
    observeRun?.(run, excessMs);
    const runFit = computeFit(excessMs);
    if (runFit > fit || (runFit === fit && run.priority >= priority)) continue;
    if (!callers.routes.has(run.route)) continue;
    parent = run;
    priority = run.priority;
    fit = runFit;
  }
  return parent;
}

function computeFit(excessMs: number): number {
  if (excessMs > MAX_EXCESS_MS) return LESS_TIME_LEFT;
  return excessMs < -MAX_SHORTFALL_MS ? MORE_TIME_LEFT : SAME_TIME_LEFT;
}
