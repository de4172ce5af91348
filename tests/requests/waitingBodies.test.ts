import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MAX_WAITING_BODIES_BYTES, MAX_WAITING_BODY_BYTES } from '../../src/control/requests/waitingBodies.js';
import { buildRoute, buildRouteConfiguration, createRequestFleet, getTarget } from '../fixtures/requestFleet.js';
import type { FleetHost, RequestFleet, SentRequest } from '../fixtures/requestFleet.js';

const hosts: FleetHost[] = [
  { host: 'a1', dataCenter: 'd1', service: 'orders' },
  { host: 'a2', dataCenter: 'd1', service: 'stock', slots: 1 },
];
const configuration = buildRouteConfiguration(1, [
  buildRoute('check', 'stock', { isIdempotent: false, timeoutMs: 5000 }),
]);
const WINDOW_BYTES = 64 * 1024;

/** Starts a fleet whose only target is at work for the next second. */
function createBusyFleet(): RequestFleet {
  const fleet = createRequestFleet({ hosts, configuration });
  const target = getTarget(fleet, 'a2');
  target.durationMs = 1000;
  while (target.running.size === 0 || (fleet.nodes.get('a2')?.board.read('runs').queue.length ?? 0) === 0) {
    fleet.send('a1', { timeLeftMs: 5000 });
    fleet.clock.advance(2);
  }
  return fleet;
}

function startUpload(fleet: RequestFleet, host: string): SentRequest {
  const sent = fleet.send(host, { method: 'POST', timeLeftMs: 5000, isStreamed: true });
  fleet.clock.advance(2);
  return sent;
}

function readBody(fleet: RequestFleet, requestId: string): { bytes: Buffer; isWhole: boolean } | undefined {
  const body = getTarget(fleet, 'a2').bodies.get(requestId);
  return body === undefined ? undefined : { bytes: Buffer.concat(body.parts), isWhole: body.isWhole };
}

function getLastId(fleet: RequestFleet): string {
  return [...getTarget(fleet, 'a2').bodies.keys()].at(-1) ?? '';
}

function getWaitingBytes(fleet: RequestFleet): number | undefined {
  return fleet.nodes.get('a2')?.board.read('runs').waitingBodyBytes;
}

describe('the body of a request that waits for the target', () => {
  for (const host of ['a1', 'a2'])
    for (const [size, partSize] of [
      [0, 1],
      [WINDOW_BYTES - 1, WINDOW_BYTES],
      [WINDOW_BYTES, 5],
      [2 * WINDOW_BYTES, 64 * 1024],
    ] as const) {
      // Guards against a request that runs with the part of its body that arrived after its start.
      it(`should reach the target whole: ${size} bytes in parts of ${partSize}, from ${host}`, () => {
        const fleet = createBusyFleet();
        const sent = startUpload(fleet, host);
        const body = Buffer.from(Array.from({ length: size }, (_, index) => index % 251));
        for (let start = 0; start < size; start += partSize)
          sent.handle.sendBody(body.subarray(start, start + partSize), false);
        sent.handle.sendBody(new Uint8Array(), true);
        fleet.clock.advance(50);
        expect(getWaitingBytes(fleet)).toEqual(size);
        fleet.clock.advance(4000);
        const received = readBody(fleet, getLastId(fleet));
        expect([received?.isWhole, received?.bytes.equals(body)]).toEqual([true, true]);
        expect([sent.answer?.status, sent.grantedBytes, getWaitingBytes(fleet)]).toEqual([200, size, 0]);
      });
    }

  it('should go on to the target with the parts that arrive after its start', () => {
    const fleet = createBusyFleet();
    const sent = startUpload(fleet, 'a1');
    sent.handle.sendBody(Buffer.alloc(WINDOW_BYTES, 1), false);
    for (let waitedMs = 0; waitedMs < 4000 && sent.grantedBytes === 0; waitedMs += 10) fleet.clock.advance(10);
    sent.handle.sendBody(Buffer.alloc(WINDOW_BYTES, 2), true);
    fleet.clock.advance(50);
    const received = readBody(fleet, getLastId(fleet));
    expect([received?.isWhole, received?.bytes.length]).toEqual([true, 2 * WINDOW_BYTES]);
  });

  // Guards against an upload whose client left, and which goes on to run with a part of its body.
  it('should be dropped with its request when the client leaves', () => {
    const fleet = createBusyFleet();
    const sent = startUpload(fleet, 'a1');
    sent.handle.sendBody(Buffer.alloc(WINDOW_BYTES), false);
    fleet.clock.advance(10);
    const before = getTarget(fleet, 'a2').bodies.size;
    sent.handle.cancel();
    fleet.clock.advance(10);
    expect(getWaitingBytes(fleet)).toEqual(0);
    fleet.clock.advance(4000);
    expect([...getTarget(fleet, 'a2').bodies.values()].slice(before).filter(({ isWhole }) => !isWhole)).toEqual([]);
  });

  it('should be dropped when its link is lost, its node stops, or its deadline passes', () => {
    const faults: ((fleet: RequestFleet) => void)[] = [
      (fleet) => {
        fleet.links.reset('a1', 'a2');
      },
      (fleet) => {
        fleet.nodes.get('a2')?.stop(() => undefined);
      },
      (fleet) => {
        getTarget(fleet, 'a2').durationMs = 9000;
        fleet.clock.advance(6000);
      },
    ];
    for (const causeFault of faults) {
      const fleet = createBusyFleet();
      const sent = startUpload(fleet, 'a1');
      sent.handle.sendBody(Buffer.alloc(WINDOW_BYTES), false);
      fleet.clock.advance(10);
      causeFault(fleet);
      fleet.clock.advance(3000);
      expect([sent.answer, getWaitingBytes(fleet)]).toEqual([undefined, 0]);
      expect(sent.refusal !== undefined).toEqual(true);
    }
  });

  it('should not exceed its bound of memory: the request is refused as not run', () => {
    const fleet = createBusyFleet();
    const sent = startUpload(fleet, 'a1');
    for (let sentBytes = 0; sentBytes <= MAX_WAITING_BODY_BYTES; sentBytes += WINDOW_BYTES)
      sent.handle.sendBody(Buffer.alloc(WINDOW_BYTES), false);
    fleet.clock.advance(50);
    expect([sent.refusal?.kind, getWaitingBytes(fleet)]).toEqual(['overloaded', 0]);
  });

  it('should not exceed the bound for all bodies of the node', () => {
    const fleet = createBusyFleet();
    const uploads = Array.from({ length: MAX_WAITING_BODIES_BYTES / MAX_WAITING_BODY_BYTES + 4 }, () => {
      const sent = startUpload(fleet, 'a2');
      sent.handle.sendBody(Buffer.alloc(MAX_WAITING_BODY_BYTES), false);
      return sent;
    });
    expect((getWaitingBytes(fleet) ?? Infinity) <= MAX_WAITING_BODIES_BYTES).toEqual(true);
    expect(uploads.filter(({ refusal }) => refusal !== undefined).length > 0).toEqual(true);
  });
});
