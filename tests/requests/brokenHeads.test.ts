import '../../src/standins/lenientParser.js';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { Socket } from 'node:net';
import { createTargetSends, OK_HEAD } from '../fixtures/targetSends.js';
import { listNamedLines, VALID_NAME } from '../fixtures/brokenHeads.js';

const BODY = 'body';
const WHOLE_TAIL = `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
/** Length of the pieces in which a head arrives where it does not arrive at once (bytes). */
const PIECE_BYTES = 7;
const MANY_FIELDS = Array.from({ length: 60 }, (_, index) => `X-Field-${index}: ${index}\r\n`).join('');
const STREAMED_BYTES = 100_000;

const lines = listNamedLines();

/** Writes a response in pieces that arrive one by one. */
function writePieces(socket: Socket, text: string): void {
  socket.setNoDelay(true);
  const writeFrom = (start: number): void => {
    if (start >= text.length || socket.destroyed) return;
    socket.write(text.slice(start, start + PIECE_BYTES), 'latin1');
    setImmediate(writeFrom, start + PIECE_BYTES);
  };
  writeFrom(0);
}

/** Guards against answers that reach a client with a line, or with a body, that is not the target's. */
describe('an answer of a target with an invalid line in its head', () => {
  const { startTarget, createSender, stop } = createTargetSends();
  afterEach(stop);

  const forms: [string, (line: string) => string][] = [
    ['before the other fields', (line) => OK_HEAD.replace('\r\n', `\r\n${line}`) + WHOLE_TAIL],
    ['after them', (line) => `${OK_HEAD}${line}${WHOLE_TAIL}`],
    ['as the last field', (line) => `${OK_HEAD}Content-Length: ${BODY.length}\r\n${line}\r\n${BODY}`],
    ['among many', (line) => `${OK_HEAD}${MANY_FIELDS}${line}${WHOLE_TAIL}`],
    ['in an interim response', (line) => `HTTP/1.1 103 Early Hints\r\n${line}\r\n${OK_HEAD}${WHOLE_TAIL}`],
    ['in an error', (line) => `HTTP/1.1 500 Error\r\ntest-id: r1\r\n${line}${WHOLE_TAIL}`],
    ['up to the close', (line) => `${OK_HEAD}${line}\r\n${BODY}`],
    ['in the trailers', (line) => `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\n${BODY}\r\n0\r\n${line}\r\n`],
  ];
  for (const [where, build] of forms) {
    for (const isInPieces of [false, true]) {
      it(`should not be passed on: ${where}${isInPieces ? ', in pieces' : ''}`, async () => {
        const passedOn: string[] = [];
        for (const [name, line] of lines) {
          const target = await startTarget((socket) => {
            const response = build(line);
            if (isInPieces) writePieces(socket, response);
            else socket.write(response, 'latin1');
            setTimeout(() => socket.end(), 50);
          });
          const end = await createSender()(target);
          if (end.type !== 'failed' || end.failure.ran !== 'unknown') passedOn.push(name);
          target.stop();
        }
        // The valid name shows that the answer would be passed on.
        expect(passedOn).toEqual([VALID_NAME]);
      });
    }
  }

  for (const isStreamed of [false, true])
    it(`should not be passed on after a valid answer on the same connection${isStreamed ? ', which was streamed' : ''}`, async () => {
      const passedOn: string[] = [];
      const first = isStreamed ? 'x'.repeat(STREAMED_BYTES) : BODY;
      for (const [name, line] of lines) {
        const target = await startTarget((socket, _chunk, index) => {
          const head = index === 0 ? OK_HEAD : `${OK_HEAD.replace('r1', 'r2')}${line}`;
          socket.write(`${head}Content-Length: ${first.length}\r\n\r\n${first}`, 'latin1');
          if (index > 0) setTimeout(() => socket.end(), 50);
        });
        const send = createSender();
        expect((await send(target)).type).toEqual('answered');
        const end = await send(target, { requestId: 'r2' });
        if (end.type !== 'failed' || end.failure.ran !== 'unknown') passedOn.push(name);
        expect(target.connections.length).toEqual(1);
        target.stop();
      }
      // The valid name shows that the second answer would be passed on.
      expect(passedOn).toEqual([VALID_NAME]);
    });

  // Guards against a rejection that is believed although its head is none: the request may have run.
  it('should not say that the request has not run', async () => {
    const saidNotRun: string[] = [];
    for (const [name, line] of lines) {
      const target = await startTarget((socket) => {
        socket.write(`HTTP/1.1 503 Busy\r\ntest-id: r1\r\ntest-not-run: 1\r\n${line}${WHOLE_TAIL}`, 'latin1');
        setTimeout(() => socket.end(), 50);
      });
      const end = await createSender()(target);
      if (end.type === 'failed' && end.failure.ran === 'no') saidNotRun.push(name);
      target.stop();
    }
    expect(saidNotRun).toEqual([VALID_NAME]);
  });
});
