/** How many calls to one route a run of another route makes on average. */
export interface CallEstimate {
  /** Route of the runs at the observed service. */
  ran: string;
  called: string;
  perRun: number;
}

/** What one node saw in an interval: runs that began at its target, and requests that clients or the target sent. */
export interface CallSample {
  /** By route: runs begun. */
  ran: ReadonlyMap<string, number>;
  /** By route: requests that entered at the node; less those of clients where `isClientTrafficExcluded`. */
  arrived: ReadonlyMap<string, number>;
  /** True when other nodes told how many requests are those of clients; else only variations tell calls from them. */
  isClientTrafficExcluded: boolean;
}

/** A count as the sums use it: its mean over a short time, less that over a long one where only variations tell. */
interface Variation {
  short: number;
  long: number;
  intervals: number;
  value: number;
}

/** Sums over recent intervals from which the calls per run follow by least squares. */
export interface CallGraphEstimator {
  readonly ran: Map<string, Variation>;
  readonly arrived: Map<string, Variation>;
  /** By pair of run routes: sums of products. */
  readonly runProducts: Map<string, Map<string, number>>;
  /** By arrived route: sums of its products with runs, and of its square. */
  readonly arrivals: Map<string, { products: Map<string, number>; squares: number }>;
  /** Intervals that the sums stand for. */
  intervals: number;
}

/** Weight of a new interval in the mean over a short time: calls follow their run within it. */
const SHORT_WEIGHT = 0.25;
/** The same for a long time: what changes more slowly is a change of the whole demand and tells nothing of calls. */
const LONG_WEIGHT = 0.05;
/** Intervals until the mean over a long time says something. */
const WARM_UP_INTERVALS = 24;
/** Intervals that carry as much information as one independent one, since counts are smoothed. */
const DEPENDENT_INTERVALS = 7;
/** Share of the sums that is kept from interval to interval. */
const KEPT = 0.995;
/** Mean count below which a route is no longer in use and forgotten. */
const NEGLIGIBLE_COUNT = 0.001;
/** Fewer calls per run are taken as noise. */
const LEAST_PER_RUN = 0.1;
/** Standard errors by which calls must differ from none. */
const SIGNIFICANCE = 3;
const MAX_ITERATIONS = 40;
/** Change of a solution from step to step at which it counts as found (calls per run). */
const PRECISION = 0.005;

/** Creates a learner that saw nothing. */
export function createCallGraphEstimator(): CallGraphEstimator {
  return { ran: new Map(), arrived: new Map(), runProducts: new Map(), arrivals: new Map(), intervals: 0 };
}

/** Adds one interval. */
export function addCallSample(learner: CallGraphEstimator, sample: CallSample): void {
  applyCounts(learner.ran, sample.ran, sample.isClientTrafficExcluded);
  applyCounts(learner.arrived, sample.arrived, sample.isClientTrafficExcluded);
  learner.intervals = learner.intervals * KEPT + 1;
  forgetUnused(learner);
  for (const row of learner.runProducts.values()) decayProducts(row);
  for (const [ran, variation] of learner.ran) {
    let row = learner.runProducts.get(ran);
    if (row === undefined) learner.runProducts.set(ran, (row = new Map()));
    addProducts(row, variation, learner.ran);
  }
  for (const [route, variation] of learner.arrived) {
    let sums = learner.arrivals.get(route);
    if (sums === undefined) learner.arrivals.set(route, (sums = { products: new Map(), squares: 0 }));
    decayProducts(sums.products);
    addProducts(sums.products, variation, learner.ran);
    sums.squares = sums.squares * KEPT + variation.value ** 2;
  }
}

/**
 * Estimates the calls per run: how far requests vary with the runs that began shortly before. Requests of clients do not,
 * and what could be chance is left out.
 *
 * @example
 * addCallSample(learner, { ran: new Map([['order', 10]]), arrived: new Map([['price', 20]]) });
 * estimateCalls(learner); // after some intervals: [{ ran: 'order', called: 'price', perRun: 2 }]
 */
export function estimateCalls(learner: CallGraphEstimator): CallEstimate[] {
  const runs = [...learner.ran.keys()];
  const rows = runs.map((ran) => readVector(learner.runProducts.get(ran), runs));
  const estimates: CallEstimate[] = [];
  for (const [called, { products, squares }] of learner.arrivals) {
    const target = readVector(products, runs);
    const solution = computeCalls(rows, target, runs.indexOf(called));
    const unexplained = computeUnexplained(rows, target, squares, solution) / learner.intervals;
    solution.forEach((perRun, index) => {
      const error = Math.sqrt((DEPENDENT_INTERVALS * unexplained) / (rows[index]?.[index] ?? 0));
      if (perRun <= Math.max(LEAST_PER_RUN, SIGNIFICANCE * error)) return;
      estimates.push({ ran: runs[index] ?? '', called, perRun });
    });
  }
  return estimates;
}

function readVector(values: ReadonlyMap<string, number> | undefined, keys: readonly string[]): Float64Array {
  return Float64Array.from(keys, (key) => values?.get(key) ?? 0);
}

/** Least squares without negative solutions, by coordinate descent; a route does not call itself. */
function computeCalls(rows: readonly Float64Array[], products: Float64Array, self: number): Float64Array {
  const solution = new Float64Array(rows.length);
  for (let iteration = 0, change = Infinity; iteration < MAX_ITERATIONS && change > PRECISION; iteration++) {
    change = 0;
    for (const [index, row] of rows.entries()) {
      const own = row[index] ?? 0;
      const known = solution[index] ?? 0;
      if (own <= 0 || index === self) continue;
      const rest = (products[index] ?? 0) - computeProduct(row, solution) + own * known;
      const value = Math.max(0, rest / own);
      change = Math.max(change, Math.abs(value - known));
      solution[index] = value;
    }
  }
  return solution;
}

/** Sum of the squares of what a solution leaves unexplained. */
function computeUnexplained(
  rows: readonly Float64Array[],
  products: Float64Array,
  squares: number,
  solution: Float64Array,
): number {
  let sum = squares - 2 * computeProduct(products, solution);
  for (const [index, row] of rows.entries()) sum += (solution[index] ?? 0) * computeProduct(row, solution);
  return Math.max(0, sum);
}

function computeProduct(left: Float64Array, right: Float64Array): number {
  let sum = 0;
  for (let index = 0; index < left.length; index++) sum += (left[index] ?? 0) * (right[index] ?? 0);
  return sum;
}

function applyCounts(
  variations: Map<string, Variation>,
  counts: ReadonlyMap<string, number>,
  isClientTrafficExcluded: boolean,
): void {
  for (const [route, count] of counts) {
    // The begin of a route's use is no variation.
    if (!variations.has(route)) variations.set(route, { short: count, long: count, intervals: 0, value: 0 });
  }
  for (const [route, variation] of variations) {
    const count = counts.get(route) ?? 0;
    variation.short += SHORT_WEIGHT * (count - variation.short);
    variation.long += LONG_WEIGHT * (count - variation.long);
    variation.intervals++;
    if (variation.short < NEGLIGIBLE_COUNT && variation.long < NEGLIGIBLE_COUNT) variations.delete(route);
    if (isClientTrafficExcluded) variation.value = variation.short;
    else variation.value = variation.intervals < WARM_UP_INTERVALS ? 0 : variation.short - variation.long;
  }
}

/** Takes out the sums of routes that are no longer in use. */
function forgetUnused({ ran, arrived, runProducts, arrivals }: CallGraphEstimator): void {
  for (const route of runProducts.keys()) if (!ran.has(route)) runProducts.delete(route);
  for (const route of arrivals.keys()) if (!arrived.has(route)) arrivals.delete(route);
}

function decayProducts(row: Map<string, number>): void {
  for (const [route, product] of row) row.set(route, product * KEPT);
}

function addProducts(row: Map<string, number>, { value }: Variation, runs: ReadonlyMap<string, Variation>): void {
  for (const [ran, run] of runs) row.set(ran, (row.get(ran) ?? 0) + value * run.value);
}
