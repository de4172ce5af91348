import { after, before, describe, it } from 'node:test';
import { credentials, status } from '@grpc/grpc-js';
import { expect } from 'earl';
import { request } from 'undici';
import type { StartedProcess } from '../../src/standins/processes.js';
import { buildSettings, startDaemonProcess } from '../fixtures/daemonProcess.js';
import { encodeValue, rawMember as member, sendRawFrame } from '../fixtures/rawPeer.js';
import type { RawPeerOutcome } from '../fixtures/rawPeer.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const MEBIBYTE = 1024 * 1024;
describe('malformed frames from peers', () => {
  let node: StartedProcess;
  const send = (bytes: Buffer, headers?: Record<string, string>): Promise<RawPeerOutcome> => {
    const address = node.addresses['peer'] ?? '';
    const shared = { address, credentials: credentials.createInsecure(), bytes };
    return sendRawFrame(headers === undefined ? shared : { ...shared, headers });
  };

  before(async () => {
    node = await startDaemonProcess(buildSettings());
  });
  after(async () => {
    await node.stop();
  });

  const call = { type: 'call', callId: 'c1', purpose: 'target' };
  const cases = [
    { name: 'bytes that are not msgpack', bytes: Buffer.from([0xc1, 0xff, 0x00]) },
    { name: 'no bytes', bytes: Buffer.alloc(0) },
    { name: 'a value that is not an object', bytes: encodeValue(7) },
    { name: 'an unknown type', bytes: encodeValue({ type: 'order' }) },
    { name: 'a call without an envelope', bytes: encodeValue(call) },
    {
      name: 'a member record with an unknown state',
      bytes: encodeValue({ type: 'hello', member: { ...member, nodeState: 'odd' } }),
    },
    // Guards against a member to which grpc-js cannot be dialled: it throws for an address that it cannot parse.
    ...['', '127.0.0.1:1\n', '127.0.0.1', '127.0.0.1:65536'].map((peerAddress) => ({
      name: `a member record with the address ${JSON.stringify(peerAddress)}`,
      bytes: encodeValue({ type: 'hello', member: { ...member, peerAddress } }),
    })),
    {
      name: 'an answer with an invalid HTTP status',
      bytes: encodeValue({
        type: 'answer',
        callId: 'c',
        allowanceLeft: 0,
        admittedFraction: 1,
        status: 7,
        contentType: '',
        body: Buffer.alloc(0),
      }),
    },
    {
      name: 'an allowance above the limit',
      bytes: encodeValue({ type: 'refusal', callId: 'c', allowanceLeft: 1e9, admittedFraction: 1, failure: {} }),
    },
  ];
  for (const { name, bytes } of cases) {
    it(`should close the stream and log a typed failure on ${name}`, async () => {
      const logged = node.errorLines.filter((line) => line.includes('frameMalformed')).length;
      const outcome = await send(bytes);
      expect(outcome).toEqual(expect.subset({ type: 'ended', code: status.INTERNAL }));
      await waitUntil(
        'the failure is logged',
        () => node.errorLines.filter((line) => line.includes('frameMalformed')).length > logged,
      );
    });
  }

  it('should reject a message larger than the maximum frame size', async () => {
    const outcome = await send(Buffer.alloc(3 * MEBIBYTE));
    expect(outcome).toEqual(expect.subset({ type: 'ended', code: status.RESOURCE_EXHAUSTED }));
  });

  for (const headers of [{}, { 'hemlock-host': 'a b' }, { 'hemlock-host': 'ok', 'hemlock-lane': 'fast' }]) {
    it(`should reject a stream with the headers ${JSON.stringify(headers)}`, async () => {
      const outcome = await send(encodeValue({ type: 'hello', member }), headers as Record<string, string>);
      expect(outcome).toEqual(expect.subset({ type: 'ended', code: status.INVALID_ARGUMENT }));
    });
  }

  it('should not apply an invalid document sent by a peer', async () => {
    const documents = [
      { service: 'bad', version: 9, changeId: 'c', operator: 'o', document: { service: 'bad', priorities: 'none' } },
      { service: 'worse', version: 9, changeId: 'c', operator: 'o', document: null },
    ];
    await send(encodeValue({ type: 'configuration', appliedOffset: 1, documents }));
    const response = await request(`http://${node.addresses['operator'] ?? ''}/status`);
    const { versions } = (await response.body.json()) as { versions: Record<string, number> };
    expect(versions).toEqual({});
  });

  it('should still respond to a valid hello frame after malformed ones', async () => {
    const outcome = await send(encodeValue({ type: 'hello', member }));
    expect(outcome).toEqual(expect.subset({ type: 'answered' }));
    expect(node.child.exitCode).toEqual(null);
  });
});
