/** Mean number of calls to one route that a run of another route makes. */
export interface CallEstimate {
  /** Route of the runs at the observed service. */
  ran: string;
  /** Route of the calls. */
  called: string;
  perRun: number;
}

/** Counts of one node in one interval. */
export interface CallSample {
  /** Number of runs started at the node's target, by route. */
  ran: ReadonlyMap<string, number>;
  /**
   * Number of requests that entered at the node, by route: calls made by its target and, unless
   * `isClientTrafficExcluded`, client requests.
   */
  arrived: ReadonlyMap<string, number>;
  /**
   * True if client requests, as estimated from the rates at other nodes, have been subtracted. Otherwise only
   * short-term variations of the counts show which requests are calls.
   */
  isClientTrafficExcluded: boolean;
}

/** Smoothed count of one route. */
interface SmoothedCount {
  shortMean: number;
  longMean: number;
  /** Intervals observed so far. */
  intervals: number;
  /**
   * Value used in the sums: the short mean if client traffic is excluded, otherwise its deviation from the long mean.
   */
  value: number;
}

/** Sums over recent intervals, from which the calls per run are estimated by least squares. */
export interface CallGraphEstimator {
  /** By route: number of runs started. */
  readonly ran: Map<string, SmoothedCount>;
  /** By route: number of requests that entered. */
  readonly arrived: Map<string, SmoothedCount>;
  /** Sums of products of the run counts, by pair of run routes. */
  readonly runProducts: Map<string, Map<string, number>>;
  /** By arrived route: sums of its products with the run counts, and of its squares. */
  readonly arrivals: Map<string, { products: Map<string, number>; squares: number }>;
  /** Effective number of intervals in the sums, after decay. */
  intervals: number;
}

/** Weight of a new interval in the short mean, which covers the delay between a run and its calls. */
const SHORT_WEIGHT = 0.25;
/**
 * Weight of a new interval in the long mean. Slower changes are changes of the total demand and not caused by calls.
 */
const LONG_WEIGHT = 0.05;
/** Intervals until the long mean is usable. */
const WARM_UP_INTERVALS = 24;
/** Consecutive intervals that carry as much information as one independent interval, since counts are smoothed. */
const CORRELATED_INTERVALS = 7;
/** Factor by which the sums decay per interval. */
const DECAY_FACTOR = 0.995;
/** Mean count below which a route is considered unused and removed. */
const MIN_MEAN_COUNT = 0.001;
/** Estimates below this number of calls per run are treated as noise. */
const MIN_CALLS_PER_RUN = 0.1;
/** Number of standard errors by which an estimate must exceed zero. */
const MIN_STANDARD_ERRORS = 3;
/** Maximum number of iterations of the solution. */
const MAX_ITERATIONS = 40;
/** Change per iteration below which the solution has converged (calls per run). */
const CONVERGENCE_THRESHOLD = 0.005;

/** Creates an estimator without samples. */
export function createCallGraphEstimator(): CallGraphEstimator {
  return { ran: new Map(), arrived: new Map(), runProducts: new Map(), arrivals: new Map(), intervals: 0 };
}

/**
 * Adds the counts of one interval.
 *
 * @example
 * // Two ledgers ran in this interval, and six scans entered beside their target.
 * addCallSample(estimator, { ran: new Map([['ledger', 2]]), arrived: new Map([['scan', 6]]), isClientTrafficExcluded: true });
 */
export function addCallSample(estimator: CallGraphEstimator, sample: CallSample): void {
  updateCounts(estimator.ran, sample.ran, sample.isClientTrafficExcluded);
  updateCounts(estimator.arrived, sample.arrived, sample.isClientTrafficExcluded);
  estimator.intervals = estimator.intervals * DECAY_FACTOR + 1;
  removeUnusedRoutes(estimator);
  for (const row of estimator.runProducts.values()) decayProducts(row);
  for (const [ran, smoothed] of estimator.ran) {
    let row = estimator.runProducts.get(ran);
    if (row === undefined) estimator.runProducts.set(ran, (row = new Map()));
    addProducts(row, smoothed, estimator.ran);
  }
  for (const [route, smoothed] of estimator.arrived) {
    let sums = estimator.arrivals.get(route);
    if (sums === undefined) estimator.arrivals.set(route, (sums = { products: new Map(), squares: 0 }));
    decayProducts(sums.products);
    addProducts(sums.products, smoothed, estimator.ran);
    sums.squares = sums.squares * DECAY_FACTOR + smoothed.value ** 2;
  }
}

/**
 * Estimates the calls per run from the correlation of requests with the runs that started shortly before. Client
 * requests are not correlated with runs. Estimates that are not statistically significant are left out.
 *
 * @example
 * const counts = { ran: new Map([['order', 10]]), arrived: new Map([['price', 20]]) };
 * addCallSample(estimator, { ...counts, isClientTrafficExcluded: true });
 * estimateCalls(estimator); // after some intervals: [{ ran: 'order', called: 'price', perRun: 2 }]
 */
export function estimateCalls(estimator: CallGraphEstimator): CallEstimate[] {
  const runs = [...estimator.ran.keys()];
  const rows = runs.map((ran) => buildVector(estimator.runProducts.get(ran), runs));
  const estimates: CallEstimate[] = [];
  for (const [called, { products, squares }] of estimator.arrivals) {
    const arrivalProducts = buildVector(products, runs);
    const solution = computeCallsPerRun(rows, arrivalProducts, runs.indexOf(called));
    const residual = computeResidualSquares(rows, arrivalProducts, squares, solution) / estimator.intervals;
    solution.forEach((perRun, index) => {
      const error = Math.sqrt((CORRELATED_INTERVALS * residual) / (rows[index]?.[index] ?? 0));
      if (perRun <= Math.max(MIN_CALLS_PER_RUN, MIN_STANDARD_ERRORS * error)) return;
      estimates.push({ ran: runs[index] ?? '', called, perRun });
    });
  }
  return estimates;
}

function buildVector(values: ReadonlyMap<string, number> | undefined, keys: readonly string[]): Float64Array {
  return Float64Array.from(keys, (key) => values?.get(key) ?? 0);
}

/** Solves the non-negative least squares problem by coordinate descent. A route does not call itself. */
function computeCallsPerRun(rows: readonly Float64Array[], products: Float64Array, self: number): Float64Array {
  const solution = new Float64Array(rows.length);
  for (
    let iteration = 0, change = Infinity;
    iteration < MAX_ITERATIONS && change > CONVERGENCE_THRESHOLD;
    iteration++
  ) {
    change = 0;
    for (const [index, row] of rows.entries()) {
      const diagonal = row[index] ?? 0;
      const previous = solution[index] ?? 0;
      if (diagonal <= 0 || index === self) continue;
      const rest = (products[index] ?? 0) - computeDotProduct(row, solution) + diagonal * previous;
      const value = Math.max(0, rest / diagonal);
      change = Math.max(change, Math.abs(value - previous));
      solution[index] = value;
    }
  }
  return solution;
}

/** Computes the residual sum of squares of a solution. */
function computeResidualSquares(
  rows: readonly Float64Array[],
  products: Float64Array,
  squares: number,
  solution: Float64Array,
): number {
  let sum = squares - 2 * computeDotProduct(products, solution);
  for (const [index, row] of rows.entries()) sum += (solution[index] ?? 0) * computeDotProduct(row, solution);
  return Math.max(0, sum);
}

function computeDotProduct(left: Float64Array, right: Float64Array): number {
  let sum = 0;
  for (let index = 0; index < left.length; index++) sum += (left[index] ?? 0) * (right[index] ?? 0);
  return sum;
}

function updateCounts(
  smoothedCounts: Map<string, SmoothedCount>,
  counts: ReadonlyMap<string, number>,
  isClientTrafficExcluded: boolean,
): void {
  for (const [route, count] of counts) {
    // Both means start at the first count, so that a new route does not look like a sudden increase.
    if (!smoothedCounts.has(route))
      smoothedCounts.set(route, { shortMean: count, longMean: count, intervals: 0, value: 0 });
  }
  for (const [route, smoothed] of smoothedCounts) {
    const count = counts.get(route) ?? 0;
    smoothed.shortMean += SHORT_WEIGHT * (count - smoothed.shortMean);
    smoothed.longMean += LONG_WEIGHT * (count - smoothed.longMean);
    smoothed.intervals++;
    if (smoothed.shortMean < MIN_MEAN_COUNT && smoothed.longMean < MIN_MEAN_COUNT) smoothedCounts.delete(route);
    if (isClientTrafficExcluded) smoothed.value = smoothed.shortMean;
    else smoothed.value = smoothed.intervals < WARM_UP_INTERVALS ? 0 : smoothed.shortMean - smoothed.longMean;
  }
}

/** Removes the sums of routes that are no longer in use. */
function removeUnusedRoutes({ ran, arrived, runProducts, arrivals }: CallGraphEstimator): void {
  for (const route of runProducts.keys()) if (!ran.has(route)) runProducts.delete(route);
  for (const route of arrivals.keys()) if (!arrived.has(route)) arrivals.delete(route);
}

function decayProducts(row: Map<string, number>): void {
  for (const [route, product] of row) row.set(route, product * DECAY_FACTOR);
}

function addProducts(
  row: Map<string, number>,
  { value }: SmoothedCount,
  runs: ReadonlyMap<string, SmoothedCount>,
): void {
  for (const [ran, run] of runs) row.set(ran, (row.get(ran) ?? 0) + value * run.value);
}
