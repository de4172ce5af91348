import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Packr } from 'msgpackr';
import { nodeMemberSchema } from '../../src/schema/nodeMember.js';
import { compileSchema } from '../../src/schema/validate.js';
import { startLinkServer } from '../../src/transport/linkServer.js';
import { createRequestFleet } from '../fixtures/requestFleet.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

/** Depth that JSON.parse reads and JSON.stringify cannot write. */
const DEPTH = 100_000;

function parseNested(): unknown {
  return JSON.parse('['.repeat(DEPTH) + ']'.repeat(DEPTH));
}

describe('faults of values that JSON cannot print', () => {
  // Guards against a report on an invalid value that throws where the value itself was expected to be invalid.
  it('should name the type of the value', () => {
    const validator = compileSchema(nodeMemberSchema);
    const findFault = (host: unknown): string | undefined =>
      validator.listFaults({ host }).find(({ path }) => path === 'host')?.found;
    expect([1n, [1n], parseNested()].map(findFault)).toEqual(['bigint', 'object', 'object']);
  });

  it('should let a node apply the next configuration after one with a deeply nested version', () => {
    const fleet = createRequestFleet({ hosts: [{ host: 'a1', dataCenter: 'd1', service: 'stock' }] });
    const { configuration } = fleet.store.records;
    configuration.push({ key: 'config', offset: configuration.length, value: { version: parseNested() } });
    fleet.clock.advance(30_000);
    fleet.store.publish({ version: 1, routes: [], services: [], limits });
    fleet.clock.advance(30_000);
    expect(fleet.nodes.get('a1')?.board.read('routes').version).toEqual(1);
  });

  it('should only close the link on which a frame with a 64-bit integer arrives', async () => {
    const reasons: string[] = [];
    const server = await startLinkServer('127.0.0.1:0', () => ({
      receive: () => undefined,
      closed: (reason) => reasons.push(reason),
    }));
    const socket = connect(Number(server.address.split(':')[1]), '127.0.0.1');
    socket.on('error', () => undefined);
    const payload = new Packr({ sequential: true }).pack({ type: 'status', memberCount: 2n ** 62n });
    const length = Buffer.alloc(4);
    length.writeUInt32BE(payload.length);
    socket.write(Buffer.concat([length, payload]));
    try {
      await waitUntil('the end of the link', () => reasons.length > 0);
      expect(reasons[0]).toEqual(expect.includes('received an invalid frame'));
    } finally {
      socket.destroy();
      server.stop();
    }
  });
});

const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 };
