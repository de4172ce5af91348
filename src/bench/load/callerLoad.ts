import { generateExponential } from '../../core/random.js';
import type { Random } from '../../core/random.js';
import type { FakeFleet } from '../fakes/fakeFleet.js';
import { createLoadStatistics } from './loadStatistics.js';
import type { LoadStatistics } from './loadStatistics.js';
import { DATA_CENTERS } from './deployments.js';

/** A stream of whole requests of one kind. */
export interface CallerStream {
  service: string;
  operation: string;
  priority: string;
  deadlineMs: number;
  /** Requests per second at a time of the run (ms). */
  computeRate: (atMs: number) => number;
}

export interface CallerLoadOptions {
  fleet: FakeFleet;
  random: Random;
  statistics: LoadStatistics;
  streams: readonly CallerStream[];
  clientDelayMs: number;
  /** Resends after a failed try. */
  resends?: number;
  /** Mean pause before a resend (ms). */
  resendDelayMs?: number;
  /** Number of callers; each sends through any node of its own data centre. */
  callers?: number;
  untilMs: number;
  /** Requests first sent before this time are not accounted (ms). */
  measureFromMs?: number;
}

const IDLE_CHECK_MS = 20;

/** Sends requests at the given rates whatever becomes of them (open loop); callers resend what fails. */
export function startCallerLoad(options: CallerLoadOptions): void {
  const { fleet, random, streams, clientDelayMs, untilMs, measureFromMs: accountFromMs = 0 } = options;
  const unaccounted = createLoadStatistics();
  const { resends = 2, resendDelayMs: resendPauseMs = 50, callers = 400 } = options;
  const { clock } = fleet;
  const hostsByDataCenter = new Map<string, string[]>();
  for (const { options: host } of fleet.hosts.values()) {
    const list = hostsByDataCenter.get(host.dataCenter) ?? [];
    hostsByDataCenter.set(host.dataCenter, list);
    list.push(host.host);
  }

  let nextRequest = 0;
  const sendTry = (
    stream: CallerStream,
    caller: number,
    body: Uint8Array,
    firstSentMs: number,
    resendsLeft: number,
  ): void => {
    const sentMs = clock.now();
    const statistics = firstSentMs >= accountFromMs ? options.statistics : unaccounted;
    statistics.recordSend(stream.priority);
    const dataCenter = DATA_CENTERS[caller % DATA_CENTERS.length] ?? DATA_CENTERS[0];
    const hosts = hostsByDataCenter.get(dataCenter) ?? [];
    const host = hosts[Math.floor(random() * hosts.length)] ?? '';
    const fail = (kind: string): void => {
      statistics.recordFailure(stream.priority, kind);
      if (resendsLeft <= 0 || clock.now() >= untilMs) return;
      clock.schedule(generateExponential(random, resendPauseMs), () => {
        sendTry(stream, caller, body, firstSentMs, resendsLeft - 1);
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
    const pauseMs = rate > 0 ? generateExponential(random, 1000 / rate) : IDLE_CHECK_MS;
    // A long pause drawn at a low rate must not outlast a step up of the rate.
    const isSend = rate > 0 && pauseMs <= IDLE_CHECK_MS;
    clock.schedule(Math.min(pauseMs, IDLE_CHECK_MS), () => {
      if (clock.now() >= untilMs) return;
      if (isSend) {
        if (clock.now() >= accountFromMs) options.statistics.recordOffered(stream.priority, clock.now());
        const body = new Uint8Array(new Uint32Array([nextRequest++]).buffer);
        sendTry(stream, Math.floor(random() * callers), body, clock.now(), resends);
      }
      scheduleNext(stream);
    });
  };
  for (const stream of streams) scheduleNext(stream);
}
