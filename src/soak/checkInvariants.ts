import type { SoakArrival, SoakRecords, SoakRequest, Violation } from './soakTypes.js';

/** Bounds that the invariants refer to. Those of the system itself correspond to `RequestBounds`. */
export interface SoakBounds {
  drainMs: number;
  configurationApplyMs: number;
  retryRatio: number;
  retryExtra: number;
  retryWindowMs: number;
  /** End of the load (monotonic time). */
  endMs: number;
  /** Time without faults at the end of the load; requests must be served again in its second half. */
  recoveryMs: number;
}

/** Statuses that guarantee that the request has not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Minimum share of requests that are served after the faults. */
const MIN_RECOVERED_SHARE = 0.95;
/** Time before and after a disturbance in which its effects are accepted. */
const DISTURBANCE_MARGIN_MS = 1500;
const MAX_CRASHES = 3;
const MAX_EXAMPLES = 3;

/**
 * Checks the invariants of the system on the requests that clients sent and targets received.
 *
 * @returns one entry per violated invariant, with up to three examples.
 */
export function checkInvariants(records: SoakRecords, bounds: SoakBounds): Violation[] {
  const arrivalsByRequest = new Map<string, SoakArrival[]>();
  for (const arrival of records.arrivals) {
    arrivalsByRequest.set(arrival.requestId, [...(arrivalsByRequest.get(arrival.requestId) ?? []), arrival]);
  }
  const countRuns = ({ requestId }: SoakRequest): number =>
    (arrivalsByRequest.get(requestId) ?? []).filter(({ hasRun }) => hasRun).length;
  const repeatedRuns = records.requests.filter((request) => !request.isIdempotent && countRuns(request) > 1);
  const falseRefusals = records.requests.filter(
    (request) => notRunStatuses.has(request.status) && !request.isIdempotent && countRuns(request) > 0,
  );
  const mismatched = records.requests.filter(
    ({ status, body, requestId, hasBrokenLine }) =>
      hasBrokenLine || (status === 200 && !body.endsWith(`:${requestId}`)),
  );
  // Not an interruption: an idle connection was closed while the request was sent on it, and no target received it.
  const isInterrupted = ({ status, body, requestId }: SoakRequest): boolean =>
    status === 0 && (body !== 'keepAliveRace' || arrivalsByRequest.has(requestId));
  const interrupted = records.requests.filter(
    (request) => isInterrupted(request) && !isInterruptionExpected(request, records),
  );
  const findings: [string, readonly SoakRequest[]][] = [
    ['a non-idempotent request runs at most once', repeatedRuns],
    ['a request that was refused as not run did not run', falseRefusals],
    ['a response is complete and belongs to its request', mismatched],
    ['a planned stop does not interrupt requests', interrupted],
    ['a configuration is applied in time and never reverted', listRequestsWithOutdatedRoutes(records, bounds)],
  ];
  return [
    ...findings.flatMap(([invariant, requests]) => buildViolations(invariant, requests.map(describeRequest))),
    ...buildViolations('a drained target does not receive requests', listLateArrivals(records, bounds)),
    ...buildViolations('a request that crashes targets is refused after three', listRepeatedCrashes(records)),
    ...buildViolations('retries stay within their budget', listBudgetViolations(records, bounds)),
    ...buildViolations('service recovers after the faults', checkRecovery(records, bounds)),
  ];
}

function buildViolations(invariant: string, details: readonly string[]): Violation[] {
  if (details.length === 0) return [];
  return [{ invariant, detail: `${details.length} times: ${details.slice(0, MAX_EXAMPLES).join('; ')}` }];
}

function describeRequest({ requestId, route, host, status, sentAtMs, publishedVersion }: SoakRequest): string {
  return `${requestId} (${route} at ${host}, sent at ${Math.round(sentAtMs)} ms, version ${publishedVersion}): ${status}`;
}

/** Only a killed or frozen node may interrupt the requests of its clients. */
function isInterruptionExpected({ host, sentAtMs, endedAtMs }: SoakRequest, { disturbances }: SoakRecords): boolean {
  return disturbances.some(
    (disturbance) =>
      disturbance.host === host &&
      (disturbance.kind === 'killNode' || disturbance.kind === 'freezeNode') &&
      endedAtMs >= disturbance.fromMs - DISTURBANCE_MARGIN_MS &&
      sentAtMs <= disturbance.untilMs + DISTURBANCE_MARGIN_MS,
  );
}

/**
 * Lists the requests that were handled with an outdated configuration. Each version has its own route, so status 404 on
 * that route means that the node applies another version.
 */
function listRequestsWithOutdatedRoutes(
  { requests, disturbances }: SoakRecords,
  { configurationApplyMs }: SoakBounds,
): SoakRequest[] {
  const isDisturbed = ({ host, sentAtMs }: SoakRequest): boolean =>
    disturbances.some(
      ({ kind, host: disturbed, fromMs, untilMs }) =>
        (disturbed === host || kind.startsWith('store')) &&
        sentAtMs >= fromMs &&
        sentAtMs <= untilMs + configurationApplyMs + DISTURBANCE_MARGIN_MS,
    );
  return requests.filter(
    (request) =>
      request.route === 'versioned' &&
      request.status === 404 &&
      request.sentAtMs - request.publishedAtMs > configurationApplyMs &&
      !isDisturbed(request),
  );
}

function listLateArrivals({ arrivals, drains }: SoakRecords, { drainMs }: SoakBounds): string[] {
  return drains.flatMap(({ target, atMs }) =>
    arrivals
      .filter((arrival) => arrival.target === target && arrival.hasRun && arrival.atMs > atMs + drainMs)
      .map(
        ({ requestId, atMs: arrivedAtMs }) =>
          `${requestId} reached ${target} ${Math.round(arrivedAtMs - atMs)} ms after its drain was acknowledged`,
      ),
  );
}

function listRepeatedCrashes({ crashes }: SoakRecords): string[] {
  return crashes.filter((count) => count > MAX_CRASHES).map((count) => `${count} targets crashed`);
}

/** Counts repeated arrivals of the same request within every window that starts at one of them. */
function listBudgetViolations({ arrivals, requests }: SoakRecords, bounds: SoakBounds): string[] {
  const { retryRatio, retryExtra, retryWindowMs } = bounds;
  const seen = new Set<string>();
  const retries: SoakArrival[] = [];
  for (const arrival of [...arrivals].sort((left, right) => left.atMs - right.atMs)) {
    if (seen.has(arrival.requestId)) retries.push(arrival);
    seen.add(arrival.requestId);
  }
  return retries.flatMap(({ service, atMs }) => {
    const isInWindow = (otherMs: number): boolean => otherMs >= atMs && otherMs < atMs + retryWindowMs;
    const count = retries.filter((other) => other.service === service && isInWindow(other.atMs)).length;
    const sent = requests.filter((request) => request.service === service && isInWindow(request.sentAtMs)).length;
    const bound = retryRatio * sent + retryExtra;
    return count > bound ? [`${count} retries at ${service} from ${Math.round(atMs)} ms, allowed ${bound}`] : [];
  });
}

function checkRecovery({ requests }: SoakRecords, { endMs, recoveryMs }: SoakBounds): string[] {
  const lastRequests = requests.filter(
    ({ sentAtMs, route }) => sentAtMs > endMs - recoveryMs / 2 && route !== 'versioned',
  );
  const served = lastRequests.filter(({ status }) => status === 200).length;
  return served >= MIN_RECOVERED_SHARE * lastRequests.length
    ? []
    : [`${served} of ${lastRequests.length} requests served after the faults`];
}
