import { generateExponential } from '../../core/random.js';
import type { Random } from '../../core/random.js';
import type { FakeFleet } from '../fakes/fakeFleet.js';
import { createLoadStatistics } from './loadStatistics.js';
import type { LoadStatistics } from './loadStatistics.js';
import { DATA_CENTERS } from './deployments.js';

/** A stream of requests of one priority to one operation. */
export interface CallerStream {
  service: string;
  operation: string;
  priority: string;
  deadlineMs: number;
  /** Computes the rate (requests/s) at a time of the run (ms). */
  computeRate: (atMs: number) => number;
}

export interface CallerLoadOptions {
  fleet: FakeFleet;
  random: Random;
  statistics: LoadStatistics;
  streams: readonly CallerStream[];
  /** One-way delay between a caller and a node (ms). */
  clientDelayMs: number;
  /** Maximum resends of a failed request. */
  resends?: number;
  /** Mean delay before a resend (ms). */
  resendDelayMs?: number;
  /** Number of callers; each sends through random nodes of its own data centre. */
  callers?: number;
  /** Time of the run at which the load ends (ms). */
  untilMs: number;
  /** Requests first sent before this time of the run (ms) are left out of the statistics. */
  measureFromMs?: number;
}

const RATE_CHECK_INTERVAL_MS = 20;

/** Sends requests in an open loop at the given rates; callers resend failed requests. */
export function startCallerLoad(options: CallerLoadOptions): void {
  const { fleet, random, streams, clientDelayMs, untilMs, measureFromMs = 0 } = options;
  /** Receives the counts of requests that were first sent before `measureFromMs`. */
  const unmeasured = createLoadStatistics();
  const { resends = 2, resendDelayMs = 50, callers = 400 } = options;
  const { clock } = fleet;
  const hostsByDataCenter = new Map<string, string[]>();
  for (const { options: host } of fleet.hosts.values()) {
    const list = hostsByDataCenter.get(host.dataCenter) ?? [];
    hostsByDataCenter.set(host.dataCenter, list);
    list.push(host.host);
  }

  let nextRequest = 0;
  const sendRequest = (
    stream: CallerStream,
    caller: number,
    body: Uint8Array,
    firstSentMs: number,
    resendsLeft: number,
  ): void => {
    const sentMs = clock.now();
    const statistics = firstSentMs >= measureFromMs ? options.statistics : unmeasured;
    statistics.recordSend(stream.priority);
    const dataCenter = DATA_CENTERS[caller % DATA_CENTERS.length] ?? DATA_CENTERS[0];
    const hosts = hostsByDataCenter.get(dataCenter) ?? [];
    const host = hosts[Math.floor(random() * hosts.length)] ?? '';
    const fail = (kind: string): void => {
      statistics.recordFailure(stream.priority, kind);
      if (resendsLeft <= 0 || clock.now() >= untilMs) return;
      clock.schedule(generateExponential(random, resendDelayMs), () => {
        sendRequest(stream, caller, body, firstSentMs, resendsLeft - 1);
      });
    };
    clock.schedule(clientDelayMs, () => {
      const node = fleet.hosts.get(host)?.node;
      if (node === undefined) {
        clock.schedule(clientDelayMs, () => {
          fail('connectionRefused');
        });
        return;
      }
      const call = {
        service: stream.service,
        operation: stream.operation,
        callerKey: `caller-${caller}`,
        contentType: 'text/plain',
        body,
        deadlineMs: stream.deadlineMs,
      };
      node.handleCallerCall(call, (result) => {
        clock.schedule(clientDelayMs, () => {
          const latencyMs = clock.now() - sentMs;
          if (result.type === 'refusal') fail(result.failure.kind);
          else if (result.status !== 200) fail(`status ${result.status}`);
          else if (latencyMs > stream.deadlineMs) fail('late');
          else statistics.recordCompleted(stream.priority, clock.now(), clock.now() - firstSentMs, result.requestId);
        });
      });
    });
  };

  const scheduleNext = (stream: CallerStream): void => {
    const rate = stream.computeRate(clock.now());
    const pauseMs = rate > 0 ? generateExponential(random, 1000 / rate) : RATE_CHECK_INTERVAL_MS;
    // The rate is read again at this interval, so that a long pause drawn at a low rate does not delay a rise.
    const isDue = rate > 0 && pauseMs <= RATE_CHECK_INTERVAL_MS;
    clock.schedule(Math.min(pauseMs, RATE_CHECK_INTERVAL_MS), () => {
      if (clock.now() >= untilMs) return;
      if (isDue) {
        if (clock.now() >= measureFromMs) options.statistics.recordOffered(stream.priority, clock.now());
        const body = new Uint8Array(new Uint32Array([nextRequest++]).buffer);
        sendRequest(stream, Math.floor(random() * callers), body, clock.now(), resends);
      }
      scheduleNext(stream);
    });
  };
  for (const stream of streams) scheduleNext(stream);
}
