import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { LinkConnection } from '../../src/control/requests/context.js';
import type { RunEvents } from '../../src/control/requests/runPort.js';
import { createFakeClock } from '../../src/core/fakeClock.js';
import { createRandom } from '../../src/core/random.js';
import { createRequestNode } from '../../src/node/createRequestNode.js';
import type { LinkFrame } from '../../src/schema/linkFrame.js';
import { createFakeStore } from '../fixtures/fakeStore.js';
import { buildRoute, buildRouteConfiguration } from '../fixtures/requestFleet.js';
import { buildRequestSettings, buildRunRequest } from '../fixtures/requests.js';

interface PausableNode {
  /** Lets time pass by one or both clocks without running anything, as if the process was paused. */
  pause(options: { monotonicMs: number; wallMs: number }): void;
  receiveRun(id: number, timeLeftMs: number): void;
  /** Answers the oldest request at the target. */
  answerFirst(): void;
  /** Kinds of the failures sent to the peer, by run id. */
  listFailures(): string[];
  readonly started: RunEvents[];
}

function createPausableNode(): PausableNode {
  const fake = createFakeClock();
  const paused = { monotonicMs: 0, wallMs: 0 };
  const clock = {
    ...fake,
    now: () => fake.now() + paused.monotonicMs,
    wallTime: () => fake.wallTime() + paused.wallMs,
  };
  const store = createFakeStore(fake);
  store.publish(buildRouteConfiguration(1, [buildRoute('check', 'stock')]));
  const started: RunEvents[] = [];
  const sent: LinkFrame[] = [];
  const node = createRequestNode({
    settings: buildRequestSettings(),
    clock,
    random: createRandom(1),
    sendToTarget: (_send, events) => {
      started.push(events);
      return { cancel: () => undefined, grantAnswer: () => undefined, sendBody: () => undefined };
    },
    probeTarget: () => undefined,
    dialLink: () => () => undefined,
    configurationTopic: store.openTopic('a1', 'configuration'),
    memberTopic: store.openTopic('a1', 'members'),
    writeMember: ({ member, fencingToken }, done) => {
      store.write('a1', member.host, member, done, fencingToken);
    },
    dropMember: () => undefined,
    recordDuration: () => undefined,
    writeLines: (_lines, done) => {
      done();
    },
  });
  node.start();
  fake.advance(1000);
  const heartbeat = {
    service: 'stock',
    address: '127.0.0.1:9000',
    dataCenter: 'd1',
    slots: 1,
    state: 'ready' as const,
  };
  node.receiveHeartbeat('i-1', { ...heartbeat, sequence: 1, coldLeftMs: 0, startedAtMs: 1 }, () => undefined);
  const connection: LinkConnection = { send: (frame) => sent.push(frame), bufferedBytes: 0, close: () => undefined };
  const link = node.acceptLink(connection);
  const member = { host: 'b1', dataCenter: 'd1', region: 'r1', service: 'orders', linkAddress: '127.0.0.1:7' };
  const peer = { ...member, incarnation: 'p1', startedAtMs: 1, revision: 0 };
  link.receive({ type: 'hello', to: 'a1', member: peer, lane: 'routine', pending: [] });
  return {
    pause: ({ monotonicMs, wallMs }) => {
      paused.monotonicMs += monotonicMs;
      paused.wallMs += wallMs;
    },
    receiveRun: (id, timeLeftMs) => {
      const request = { ...buildRunRequest({ timeLeftMs, requestId: `r${id}` }), service: 'stock', route: 'check' };
      link.receive({ type: 'run', id, request });
    },
    answerFirst: () => {
      started[0]?.answer({ status: 200, headers: [], body: Buffer.from('done'), isStreamed: false });
    },
    listFailures: () =>
      sent.flatMap((frame) =>
        frame.type === 'failed' ? [`${frame.id} ${frame.failure.kind} ran ${frame.failure.ran}`] : [],
      ),
    started,
  };
}

describe('a node that was paused', () => {
  // Guards against work for a caller that gave up during the pause: the answer that frees a slot may be read before the
  // deadline timer runs.
  it('should not start a queued request whose deadline passed meanwhile', () => {
    const node = createPausableNode();
    node.receiveRun(1, 500);
    node.receiveRun(2, 500);
    node.pause({ monotonicMs: 5000, wallMs: 5000 });
    node.answerFirst();
    expect(node.started.length).toEqual(1);
    expect(node.listFailures()).toEqual(['2 tooLate ran no']);
  });

  // The time left in a request that waited in the socket's buffer is not true any more.
  for (const [what, monotonicMs] of [
    ['stopped', 5000],
    ['suspended with its machine, so that the monotonic clock stood still', 0],
  ] as const) {
    it(`should refuse requests that it reads right after it was ${what}`, () => {
      const node = createPausableNode();
      node.pause({ monotonicMs, wallMs: 5000 });
      node.receiveRun(1, 2000);
      expect(node.started.length).toEqual(0);
      expect(node.listFailures()).toEqual(['1 tooLate ran no']);
    });
  }

  it('should run requests that it reads without a pause', () => {
    const node = createPausableNode();
    node.receiveRun(1, 2000);
    expect([node.started.length, node.listFailures().length]).toEqual([1, 0]);
  });
});
