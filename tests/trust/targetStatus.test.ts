import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createTargetClient } from '../../src/http/targetClient.js';
import type { TargetOutcome } from '../../src/schema/call.js';
import { startRawTarget } from '../fixtures/rawTarget.js';

describe('the status that a target responds with', () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const run of cleanups.splice(0)) await run();
  });

  // Guards against an answer that the reply to the caller refuses by throwing, and that peers refuse by ending the stream.
  for (const [status, type] of [
    [200, 'answer'],
    [599, 'answer'],
    [600, 'failure'],
    [999, 'failure'],
  ] as const) {
    it(`should be that of an answer or fail the call: ${status}`, async () => {
      const target = await startRawTarget((socket) => {
        socket.write(`HTTP/1.1 ${status} x\r\nContent-Length: 0\r\n\r\n`);
      });
      const client = createTargetClient({ connections: 1 });
      cleanups.push(client.stop, target.stop);
      const outcome = await new Promise<TargetOutcome>((resolve) => {
        const call = { service: 's', operation: 'o', contentType: 'text/plain', body: new Uint8Array() };
        const context = { token: 't', requestId: 'r', deadlineMs: 1000, address: `http://${target.address}` };
        client.callTarget({ ...call, ...context }, resolve);
      });
      expect(outcome.type).toEqual(type);
    });
  }
});
