import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createTargetClient } from '../../src/http/targetClient.js';
import type { TargetOutcome } from '../../src/schema/call.js';
import { listNamedLines, VALID_NAME } from '../fixtures/brokenHeads.js';
import { startRawTarget } from '../fixtures/rawTarget.js';
import type { RawTarget } from '../fixtures/rawTarget.js';

const CHUNKED_ANSWER = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n';

describe('the head of a response to a service call', () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const run of cleanups.splice(0)) await run();
  });

  function sendCall(target: RawTarget): Promise<TargetOutcome> {
    const client = createTargetClient({ connections: 1 });
    cleanups.push(client.stop, target.stop);
    return new Promise((resolve) => {
      const call = { service: 's', operation: 'o', contentType: 'text/plain', body: new Uint8Array() };
      const context = { token: 't', requestId: 'r', deadlineMs: 1000, address: `http://${target.address}` };
      client.callTarget({ ...call, ...context }, resolve);
    });
  }

  // Guards against an answer that the reply to the caller refuses by throwing, and that peers refuse by ending the stream.
  for (const [status, type] of [
    ['000', 'failure'],
    ['099', 'failure'],
    [200, 'answer'],
    [599, 'answer'],
    [600, 'failure'],
    [999, 'failure'],
  ] as const) {
    it(`should be that of an answer or fail the call: ${status}`, async () => {
      const target = await startRawTarget((socket) => {
        socket.write(`HTTP/1.1 ${status} x\r\nContent-Length: 0\r\n\r\n`);
      });
      const outcome = await sendCall(target);
      expect(outcome.type).toEqual(type);
    });
  }

  // Guards against an answer with a line or a body that is not the target's.
  for (const [where, build] of [
    ['after the status', (line: string) => `HTTP/1.1 200 OK\r\n${line}Content-Length: 4\r\n\r\nbody`],
    ['as the last field', (line: string) => `HTTP/1.1 200 OK\r\nContent-Length: 4\r\n${line}\r\nbody`],
    ['in the trailers', (line: string) => `${CHUNKED_ANSWER}${line}\r\n`],
  ] as const)
    it(`should not be passed on with an invalid line: ${where}`, async () => {
      const passedOn: string[] = [];
      for (const [name, line] of listNamedLines()) {
        const target = await startRawTarget((socket) => {
          socket.end(build(line), 'latin1');
        });
        if ((await sendCall(target)).type === 'answer') passedOn.push(name);
      }
      expect(passedOn).toEqual([VALID_NAME]);
    });
});
