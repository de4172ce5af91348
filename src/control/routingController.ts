import { scheduleRepeated } from '../core/clock.js';
import type { RouteState, Sample } from '../schema/state.js';
import type { Controller, ControllerContext } from './context.js';

/** Interval between reads of the finished calls (ms). */
const ADJUST_INTERVAL_MS = 100;
/** Weight of one call in the failure rate and the latency of its target. */
const SMOOTHING_FACTOR = 0.2;
/** Consecutive failures, of the kinds that mean that a target is unavailable, after which it is ejected. */
const EJECT_AFTER_FAILURES = 3;
/** Duration of the first ejection; it doubles with each failed trial up to the maximum (ms). */
const MIN_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 8000;
const UNAVAILABLE_KINDS = new Set([
  'connectionLost',
  'targetCrashed',
  'targetUnreachable',
  'noTarget',
  'stopping',
  'targetDraining',
]);

/** Writes the latency, failures, load and ejection of the targets that this node calls. */
export function createRoutingController(context: ControllerContext): Controller {
  const { board, clock } = context;
  const routes = board.claim('routes', 'routingController');
  const { byHost } = routes.section;
  const samples = board.read('samples').ring;
  let cursor = samples.end;
  let stopTimer = (): void => undefined;

  const getRoute = (host: string): RouteState => {
    let route = byHost.get(host);
    if (route === undefined) {
      route = {
        inFlight: 0,
        latencyMs: 0,
        failureRate: 0,
        consecutiveFailures: 0,
        ejectedUntilMs: 0,
        ejectionMs: MIN_EJECTION_MS,
      };
      byHost.set(host, route);
    }
    return route;
  };
  const eject = (host: string, route: RouteState): void => {
    route.ejectedUntilMs = clock.now() + route.ejectionMs;
    route.ejectionMs = Math.min(MAX_EJECTION_MS, route.ejectionMs * 2);
    route.consecutiveFailures = 0;
    board.post('events', { kind: 'routeEjected', data: { host, untilMs: route.ejectedUntilMs } });
  };
  const applySample = (sample: Sample): void => {
    if (sample.role !== 'attempt') return;
    const route = getRoute(sample.host);
    const isFailed = sample.result === 'failed' && UNAVAILABLE_KINDS.has(sample.failureKind);
    route.failureRate += SMOOTHING_FACTOR * ((isFailed ? 1 : 0) - route.failureRate);
    if (isFailed) {
      route.consecutiveFailures++;
      if (route.consecutiveFailures >= EJECT_AFTER_FAILURES) eject(sample.host, route);
      return;
    }
    route.consecutiveFailures = 0;
    if (sample.result !== 'answered') return;
    route.ejectionMs = MIN_EJECTION_MS;
    if (route.ejectedUntilMs > clock.now())
      board.post('events', { kind: 'routeRestored', data: { host: sample.host } });
    route.ejectedUntilMs = 0;
    route.latencyMs +=
      route.latencyMs === 0 ? sample.totalTimeMs : SMOOTHING_FACTOR * (sample.totalTimeMs - route.latencyMs);
  };
  routes.handlePosts((post) => {
    const route = getRoute(post.host);
    if (post.type === 'started') route.inFlight++;
    else if (post.type === 'finished') route.inFlight = Math.max(0, route.inFlight - 1);
    else if (post.type === 'loadReceived') route.load = post.load;
    else eject(post.host, route);
  });
  return {
    start: () => {
      stopTimer = scheduleRepeated(clock, ADJUST_INTERVAL_MS, () => {
        for (const sample of samples.listFrom(cursor)) applySample(sample);
        cursor = samples.end;
      });
    },
    stop: () => {
      stopTimer();
    },
  };
}
