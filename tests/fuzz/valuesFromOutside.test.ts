import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as fc from 'fast-check';
import type { LinkConnection, LinkEvents } from '../../src/control/requests/context.js';
import { createDurationMetrics, createRequestMetrics } from '../../src/http/requestMetrics.js';
import { FailureError } from '../../src/schema/failure.js';
import { linkFrameSchema } from '../../src/schema/linkFrame.js';
import type { LinkFrame, LoadReport } from '../../src/schema/linkFrame.js';
import { heartbeatSchema, nodeMemberSchema } from '../../src/schema/nodeMember.js';
import { parseRequestSettings } from '../../src/schema/requestSettings.js';
import { compileSchema } from '../../src/schema/validate.js';
import { checkLinkFrame } from '../../src/transport/linkStream.js';
import { changeOddly } from '../fixtures/oddValues.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet } from '../fixtures/requestFleet.js';
import { buildHeartbeat, buildMember, buildRequestSettings, buildRunRequest } from '../fixtures/requests.js';

/** `FUZZ_SEED=7 FUZZ_RUNS=2000 node scripts/runTests.js valuesFromOutside` plays others. */
const seed = Number(process.env.FUZZ_SEED ?? 20_261_207);
const numRuns = Number(process.env.FUZZ_RUNS ?? 60);

/** Time after a message (ms); quotas take some seconds to begin. */
const pausesMs = [20, 700, 3000];
const BURSTS_PER_PAUSE = 8;
const heartbeatValidator = compileSchema(heartbeatSchema);
const memberValidator = compileSchema(nodeMemberSchema);
const frameValidator = compileSchema(linkFrameSchema);

/** The odd values concern `a2` and hosts that do not exist; the others have to serve the requests of the end. */
const hosts: FleetHost[] = ['a1', 'a2', 'b1'].map((host) => ({
  host,
  dataCenter: `d${host[0] ?? ''}`,
  service: 'stock',
}));
const routes = [buildRoute('check', 'stock', { isOpen: true, maxAttempts: 4 })];
const organisation = { name: 'acme', keys: ['key'], priority: 1, ratePerSecond: 50, burst: 10 };
const configuration = { ...buildRouteConfiguration(1, routes), organisations: [organisation] };

const heartbeat = buildHeartbeat({ coldLeftMs: 100, startedAtMs: 1_700_000_000_000 });
const target = { id: 'i-x1', startedAtMs: 1, sequence: 1, phase: 'ready' as const, service: 'stock', slots: 4 };
const member = buildMember({
  host: 'x1',
  linkAddress: '10.0.0.99:7000',
  target: { ...target, address: '127.0.0.1:9000', ratePerSecond: 5 },
});
const load: LoadReport = {
  phase: 'ready',
  service: 'other',
  targetId: 'i-x1',
  running: 0,
  queued: 0,
  limit: 4,
  durationMs: 5,
  failureShare: 0,
  ratePerSecond: 5,
  rateTokens: 1,
};
/** Of another route: nodes trust each other's figures, and shed what a peer says is asked of them. */
const profile = {
  demand: [{ route: 'other', perSecond: 5 }],
  priorities: [{ route: 'other', priority: 0, perSecond: 1 }],
  calls: [{ ran: 'other', called: 'other', perRun: 1 }],
  durations: [{ route: 'other', meanMs: 5, leastMs: 5, samples: 5 }],
};
const grant = { organisation: 'acme', tokens: 1, waitMs: 5, stepMs: 5 };
const frames: LinkFrame[] = [
  { type: 'status', load, configurationVersion: 1, memberCount: 4, membersDigest: 1, storeEra: 0 },
  { type: 'profile', profile },
  { type: 'members', members: [member], isComplete: false },
  { type: 'pull', what: 'members' },
  { type: 'pull', what: 'configuration' },
  { type: 'crash', reportId: 'c1', fingerprints: [1, 2] },
  { type: 'run', id: 1, request: buildRunRequest({ path: '/check/1' }) },
  { type: 'part', id: 1, data: new Uint8Array(3), isLast: true },
  { type: 'grant', id: 1, bytes: 1 },
  { type: 'cancel', id: 1 },
  { type: 'answer', id: 1, status: 200, headers: ['a', 'b'], body: new Uint8Array(), isStreamed: false, load },
  { type: 'failed', id: 1, failure: { kind: 'queueFull', ran: 'no', hasArrived: false, detail: '', roomMs: 5 }, load },
  { type: 'quotaGrant', ask: 1, incarnation: 'i1', stampMs: 1, isReturned: false, grants: [grant] },
  { type: 'quotaAsk', ask: 1, incarnation: 'i1', wants: [{ organisation: 'acme', count: 1, ahead: 3 }] },
];

const message = fc.oneof(
  fc.record({
    type: fc.constant('heartbeat' as const),
    value: changeOddly(heartbeat),
    id: fc.constantFrom('i-a2', 'é'),
  }),
  fc.record({ type: fc.constant('record' as const), value: changeOddly(member), key: fc.constantFrom('x1', 'a2', '') }),
  fc.record({ type: fc.constant('configuration' as const), value: changeOddly(configuration.limits) }),
  fc.record({ type: fc.constant('organisation' as const), value: changeOddly(organisation) }),
  fc.record({
    type: fc.constant('route' as const),
    value: changeOddly(buildRoute('other', 'other', { isOpen: true })),
  }),
  fc.record({ type: fc.constant('settings' as const), value: changeOddly(buildRequestSettings({ host: 'a2' })) }),
  fc.record({ type: fc.constant('frame' as const), value: fc.constantFrom(...frames).chain(changeOddly) }),
);
const step = fc.tuple(message, fc.constantFrom(...pausesMs)).map(([next, pauseMs]) => ({ ...next, pauseMs }));
type Message = typeof message extends fc.Arbitrary<infer Value> ? Value : never;

/** Links all nodes with `x2`, which dials them, and with `x1`, which they dial; returns the function that sends to them. */
function openLinks(fleet: RequestFleet): (frame: LinkFrame) => void {
  const events: Pick<LinkEvents, 'receive'>[] = [];
  const dialled: LinkConnection[] = [];
  fleet.links.listen(member.linkAddress, 'x1', (connection) => ({
    receive: (frame) => {
      if (frame.type !== 'hello') return;
      connection.send({ ...frame, to: frame.member.host, member, pending: [] });
      dialled.push(connection);
    },
    closed: () => undefined,
  }));
  const { members } = fleet.store.records;
  members.push({ key: 'x1', offset: members.length, value: member });
  fleet.clock.advance(2000);
  for (const [host, node] of fleet.nodes) {
    const connection = { bufferedBytes: 0, send: checkLinkFrame, close: () => undefined };
    const link = node.acceptLink(connection);
    link.receive({ type: 'hello', to: host, member: { ...member, host: 'x2' }, lane: 'routine', pending: [] });
    events.push(link);
  }
  return (frame) => {
    for (const { receive } of events) receive(frame);
    for (const connection of dialled) connection.send(frame);
  };
}

/** Publishes the configuration with one odd part, under the next version. */
function publishOdd(fleet: RequestFleet, change: object): void {
  const version = fleet.store.records.configuration.length + 1;
  fleet.store.publish({ ...configuration, ...change, version });
}

function deliverMessage(
  fleet: RequestFleet,
  send: (frame: LinkFrame) => void,
  { type, value, ...rest }: Message,
): void {
  const { members } = fleet.store.records;
  if (type === 'heartbeat') {
    if (heartbeatValidator.isValid(value))
      fleet.nodes.get('a2')?.receiveHeartbeat('id' in rest ? rest.id : '', value, () => undefined);
  } else if (type === 'record') members.push({ key: 'key' in rest ? rest.key : '', offset: members.length, value });
  else if (type === 'configuration') publishOdd(fleet, { limits: value });
  else if (type === 'organisation') publishOdd(fleet, { organisations: [organisation, value] });
  else if (type === 'route') publishOdd(fleet, { routes: [...routes, value] });
  else if (type === 'frame') {
    if (frameValidator.isValid(value)) send(value);
  } else {
    try {
      fleet.nodes.get('a2')?.board.post('settings', parseRequestSettings(value));
    } catch (error) {
      // Invalid settings leave those before in force.
      if (!(error instanceof FailureError)) throw error;
    }
  }
}

describe('values from outside', () => {
  // Guards against values that a schema accepts and that make a node throw, or send what its peers refuse.
  it('should neither make a node throw nor keep healthy targets from serving', async () => {
    const property = fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 6 }), async (messages) => {
      const fleet = createRequestFleet({ hosts, configuration });
      const send = openLinks(fleet);
      for (const { pauseMs, ...next } of messages) {
        deliverMessage(fleet, send, next);
        for (let burst = 0; burst < BURSTS_PER_PAUSE; burst++) {
          for (const { host } of hosts)
            for (const path of ['/check/1', '/check/2', '/other/1']) fleet.send(host, { key: 'key', path });
          fleet.clock.advance(pauseMs / BURSTS_PER_PAUSE);
        }
      }
      publishOdd(fleet, {});
      fleet.clock.advance(5000);
      const sent = ['a1', 'b1', 'a1', 'b1'].map((host) => fleet.send(host));
      fleet.clock.advance(3000);
      for (const { board } of fleet.nodes.values()) {
        const { self } = board.read('members');
        expect(memberValidator.listFaults(JSON.parse(JSON.stringify(self)))).toEqual([]);
        await createRequestMetrics(board, createDurationMetrics()).renderText();
      }
      expect(sent.map(({ answer, refusal }) => answer?.status ?? refusal)).toEqual([200, 200, 200, 200]);
      expect(getTarget(fleet, 'a1').ran.length + getTarget(fleet, 'b1').ran.length > 0).toEqual(true);
    });
    await fc.assert(property, { seed, numRuns });
  });
});
