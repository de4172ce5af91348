import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createMemberFleet } from '../../src/bench/fakes/memberFleet.js';
import type { MemberFleet } from '../../src/bench/fakes/memberFleet.js';
import type { CallResult } from '../../src/schema/call.js';
import { readSample } from '../fixtures/sampleFleet.js';

/** Time after which no node sends calls to a leaving target, invariant I6 of docs/design.md. */
const DRAIN_TIMEOUT_MS = 2000;
const document = readSample('kaltfracht', 'scheduling');

interface LeavingRun {
  fleet: MemberFleet;
  /** Clock times (ms) at which the target of h3 started work. */
  startedAtMs: number[];
  results: { entry: string; result: CallResult }[];
  /** Sends calls from every node for a while. */
  runCalls(durationMs: number): void;
}

function startLeavingRun(): LeavingRun {
  const startedAtMs: number[] = [];
  const results: LeavingRun['results'] = [];
  const fleet: MemberFleet = createMemberFleet({
    nodes: 12,
    dataCenters: 2,
    documents: [document],
    describeHost: (index) => ({
      service: document.service,
      target: {
        slots: 8,
        operations: { browse: { meanMs: 5 } },
        ...(index === 3 ? { onRun: () => startedAtMs.push(fleet.clock.now()) } : {}),
      },
    }),
  });
  fleet.clock.advance(15_000);
  const send = (): void => {
    for (const [entry, { node }] of fleet.hosts)
      node.handleCallerCall(
        {
          service: document.service,
          operation: 'browse',
          callerKey: 'c',
          contentType: 'text/plain',
          body: new Uint8Array([1]),
        },
        (result) => results.push({ entry, result }),
      );
  };
  const runCalls = (durationMs: number): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
      send();
      fleet.clock.advance(50);
    }
  };
  runCalls(2000);
  expect(startedAtMs.length).toBeGreaterThan(0);
  return { fleet, startedAtMs, results, runCalls };
}

function verifyNoCalls({ fleet, startedAtMs, results, runCalls }: LeavingRun, drain: () => void): void {
  const drainedAtMs = fleet.clock.now();
  results.length = 0;
  drain();
  runCalls(6000);
  expect(startedAtMs.filter((atMs) => atMs > drainedAtMs + DRAIN_TIMEOUT_MS)).toEqual([]);
  // A stopping node refuses calls of its own callers; calls that enter at other nodes complete.
  const refused = results.filter(({ result }) => result.type === 'refusal');
  expect(refused.filter(({ entry }) => entry !== 'h3')).toEqual([]);
  for (const { result } of refused)
    expect(result).toEqual(expect.subset({ failure: expect.subset({ kind: 'stopping', ran: 'no' }) }));
}

describe('leaving', () => {
  it('should not send new calls to a target whose node stops, without losing requests', () => {
    const run = startLeavingRun();
    verifyNoCalls(run, () => run.fleet.hosts.get('h3')?.node.stop(() => undefined));
  });

  it('should not send new calls to a host that a document drains', () => {
    const run = startLeavingRun();
    const drained = { ...document, drainedHosts: ['h3'] };
    const change = { service: document.service, version: 2, changeId: 'c2', operator: 'o', document: drained };
    verifyNoCalls(run, () => {
      for (const { node } of run.fleet.hosts.values()) node.board.post('configuration', { documents: [change] });
    });
  });

  it('should notify every node at once when a target announces that it drains, and refuse further calls', () => {
    const fleet = createMemberFleet({
      nodes: 12,
      dataCenters: 2,
      documents: [document],
      describeHost: () => ({ service: document.service }),
    });
    const node = fleet.hosts.get('h3')?.node;
    const announce = (state: 'ready' | 'draining'): void =>
      node?.announceTarget({ service: document.service, address: 'http://t', state, incarnation: 'i' });
    for (let second = 0; second < 15; second++) {
      announce('ready');
      fleet.clock.advance(1000);
    }
    expect(fleet.listHostsByRecord('h3', (record) => record?.targetState === 'ready').length).toEqual(12);
    announce('draining');
    fleet.clock.advance(500);
    expect(fleet.listHostsByRecord('h3', (record) => record?.targetState === 'draining').length).toEqual(12);
    const replies: string[] = [];
    const envelope = {
      requestId: 'r1',
      service: document.service,
      operation: 'browse',
      idempotent: true,
      priority: '',
      worth: 1,
      urgent: false,
      shedKey: 0,
      callerKey: 'c',
      depth: 0,
      allowance: 1,
      deadlineMs: 1000,
      fingerprint: 'f',
      contentType: 'text/plain',
      body: new Uint8Array(),
    };
    node?.receiveFrame('h1', 'routine', { type: 'call', callId: 'c1', purpose: 'target', envelope }, (frame) => {
      if (frame.type === 'refusal') replies.push(`${frame.failure.kind} ran ${frame.failure.ran}`);
    });
    expect(replies).toEqual(['targetDraining ran no']);
  });

  it('should refuse calls as not run that were queued while the process was paused', () => {
    const fleet = createMemberFleet({
      nodes: 2,
      dataCenters: 1,
      documents: [document],
      describeHost: () => ({
        service: document.service,
        target: { slots: 1, operations: { browse: { meanMs: 20_000 } } },
      }),
    });
    fleet.clock.advance(5000);
    const host = fleet.hosts.get('h0');
    const outcomes: string[] = [];
    const sendFrame = (callId: string): void =>
      host?.node.receiveFrame(
        'h1',
        'routine',
        {
          type: 'call',
          callId,
          purpose: 'target',
          envelope: {
            requestId: callId,
            service: document.service,
            operation: 'browse',
            idempotent: true,
            priority: '',
            worth: 1,
            urgent: false,
            shedKey: 0,
            callerKey: 'c',
            depth: 0,
            allowance: 0,
            deadlineMs: 60_000,
            fingerprint: callId,
            contentType: 'text/plain',
            body: new Uint8Array(),
          },
        },
        (frame) => {
          if (frame.type === 'refusal') outcomes.push(frame.failure.ran);
        },
      );
    for (let index = 0; index < 200; index++) sendFrame(`c${index}`);
    const queued = host?.node.board.read('queue').length ?? 0;
    expect(queued).toBeGreaterThan(0);
    outcomes.length = 0;
    host?.process.pause();
    fleet.clock.advance(5000);
    host?.process.resume();
    expect(outcomes).toEqual(Array.from({ length: queued }, () => 'no'));
  });
});
