import type { SoakArrival, SoakRecords, SoakRequest, Violation } from './soakTypes.js';

export interface SoakBounds {
  drainMs: number;
  configurationApplyMs: number;
  retryRatio: number;
  retryExtra: number;
  retryWindowMs: number;
  /** End of the load (ms). */
  endMs: number;
  /** Time at the end without faults, in whose second half requests are served again (ms). */
  calmEndMs: number;
}

/** Statuses that promise that the request has not run and never will. */
const promising: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Least share of the requests of the calm end that are served. */
const RECOVERED_SHARE = 0.95;
/** Time around a disturbance of a host in which its connections may be cut (ms). */
const EXCUSED_MS = 1500;
const MAX_DETAILS = 3;

/**
 * Checks what clients and targets saw against the promises of the system.
 *
 * @returns one entry per broken promise, with up to three cases.
 */
export function checkPromises(records: SoakRecords, bounds: SoakBounds): Violation[] {
  const byRequest = new Map<string, SoakArrival[]>();
  for (const arrival of records.arrivals) {
    byRequest.set(arrival.requestId, [...(byRequest.get(arrival.requestId) ?? []), arrival]);
  }
  const computeRuns = ({ requestId }: SoakRequest): number =>
    (byRequest.get(requestId) ?? []).filter(({ hasRun }) => hasRun).length;
  const once = records.requests.filter((request) => !request.isIdempotent && computeRuns(request) > 1);
  const denied = records.requests.filter(
    (request) => promising.has(request.status) && !request.isIdempotent && computeRuns(request) > 0,
  );
  const mixed = records.requests.filter(
    ({ status, body, requestId }) => status === 200 && !body.endsWith(`:${requestId}`),
  );
  const isCut = ({ status, body, requestId }: SoakRequest): boolean =>
    status === 0 && (body !== 'crossed' || byRequest.has(requestId));
  const cut = records.requests.filter((request) => isCut(request) && !isExcused(request, records));
  const findings: [string, readonly SoakRequest[]][] = [
    ['a non-idempotent request runs at most once', once],
    ['a refusal that says not run is true', denied],
    ['an answer is whole and its own', mixed],
    ['no request is cut at a planned stop', cut],
    ['a configuration is in force in time and never older', listOutdated(records, bounds)],
  ];
  return [
    ...findings.flatMap(([promise, requests]) => buildViolation(promise, requests.map(describeRequest))),
    ...buildViolation('a target that left gets nothing', listLateArrivals(records, bounds)),
    ...buildViolation('retries stay within their budget', listBudgetBreaks(records, bounds)),
    ...buildViolation('service recovers', checkRecovery(records, bounds)),
  ];
}

function buildViolation(promise: string, details: readonly string[]): Violation[] {
  if (details.length === 0) return [];
  return [{ promise, detail: `${details.length} times: ${details.slice(0, MAX_DETAILS).join('; ')}` }];
}

function describeRequest({ requestId, route, host, status, sentAtMs, publishedVersion }: SoakRequest): string {
  return `${requestId} (${route} at ${host}, sent at ${Math.round(sentAtMs)} ms, version ${publishedVersion}): ${status}`;
}

/** A killed or frozen host may cut its clients; nothing else may. */
function isExcused({ host, sentAtMs, endedAtMs }: SoakRequest, { disturbances }: SoakRecords): boolean {
  return disturbances.some(
    (disturbance) =>
      disturbance.host === host &&
      (disturbance.kind === 'killNode' || disturbance.kind === 'freezeNode') &&
      endedAtMs >= disturbance.fromMs - EXCUSED_MS &&
      sentAtMs <= disturbance.untilMs + EXCUSED_MS,
  );
}

/** Each version has a route of its own: 404 there means that another one is in force. */
function listOutdated({ requests, disturbances }: SoakRecords, { configurationApplyMs }: SoakBounds): SoakRequest[] {
  const isDisturbed = ({ host, sentAtMs }: SoakRequest): boolean =>
    disturbances.some(
      ({ kind, host: disturbed, fromMs, untilMs }) =>
        (disturbed === host || kind.startsWith('store')) &&
        sentAtMs >= fromMs &&
        sentAtMs <= untilMs + configurationApplyMs + EXCUSED_MS,
    );
  return requests.filter(
    (request) =>
      request.route === 'versioned' &&
      request.status === 404 &&
      request.sentAtMs - request.publishedAtMs > configurationApplyMs &&
      !isDisturbed(request),
  );
}

function listLateArrivals({ arrivals, leaves }: SoakRecords, { drainMs }: SoakBounds): string[] {
  return leaves.flatMap(({ target, atMs }) =>
    arrivals
      .filter((arrival) => arrival.target === target && arrival.hasRun && arrival.atMs > atMs + drainMs)
      .map(
        ({ requestId, atMs: reachedMs }) => `${requestId} reached ${target} ${Math.round(reachedMs - atMs)} ms after`,
      ),
  );
}

/** Arrivals beyond the first of each request, over any window that begins with one of them. */
function listBudgetBreaks({ arrivals, requests }: SoakRecords, bounds: SoakBounds): string[] {
  const { retryRatio, retryExtra, retryWindowMs } = bounds;
  const seen = new Set<string>();
  const repeats: SoakArrival[] = [];
  for (const arrival of [...arrivals].sort((left, right) => left.atMs - right.atMs)) {
    if (seen.has(arrival.requestId)) repeats.push(arrival);
    seen.add(arrival.requestId);
  }
  return repeats.flatMap(({ service, atMs }) => {
    const isWithin = (otherMs: number): boolean => otherMs >= atMs && otherMs < atMs + retryWindowMs;
    const count = repeats.filter((other) => other.service === service && isWithin(other.atMs)).length;
    const sent = requests.filter((request) => request.service === service && isWithin(request.sentAtMs)).length;
    const bound = retryRatio * sent + retryExtra;
    return count > bound ? [`${count} repeats at ${service} from ${Math.round(atMs)} ms, allowed ${bound}`] : [];
  });
}

function checkRecovery({ requests }: SoakRecords, { endMs, calmEndMs }: SoakBounds): string[] {
  const last = requests.filter(({ sentAtMs, route }) => sentAtMs > endMs - calmEndMs / 2 && route !== 'versioned');
  const served = last.filter(({ status }) => status === 200).length;
  return served >= RECOVERED_SHARE * last.length ? [] : [`${served} of ${last.length} at the calm end`];
}
