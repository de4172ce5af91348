import '../../src/standins/lenientParser.js';
import { afterEach, describe, it } from 'node:test';
import { once } from 'node:events';
import { setImmediate as waitForTurn, setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import { BROKEN_LINES } from '../../src/standins/brokenLines.js';
import { sendAnswer, startFrontEnd } from '../fixtures/frontEnd.js';
import type { FrontEnd } from '../fixtures/frontEnd.js';

const VALID_LINE = 'X-Odd: 1\r\n';
const FIRST_LINE = 'POST /stock/1 HTTP/1.1\r\n';
const FIELDS = 'Host: shop.example\r\ntest-id: r1\r\n';
const BODY = 'body';
const WHOLE_TAIL = `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
const VALID_REQUEST = `GET /stock/0 HTTP/1.1\r\n${FIELDS}\r\n`;
const CHUNKED_BODY = `Transfer-Encoding: chunked\r\n\r\n${BODY.length}\r\n${BODY}\r\n0\r\n`;

const forms: [string, (line: string) => string][] = [
  ['before the other fields', (line) => `${FIRST_LINE}${line}${FIELDS}${WHOLE_TAIL}`],
  ['as the last field', (line) => `${FIRST_LINE}${FIELDS}Content-Length: ${BODY.length}\r\n${line}\r\n${BODY}`],
  ['without a body', (line) => `GET /stock/1 HTTP/1.1\r\n${FIELDS}${line}\r\n`],
  ['in the trailers', (line) => `${FIRST_LINE}${FIELDS}${CHUNKED_BODY}${line}\r\n`],
  ['behind another request', (line) => `${VALID_REQUEST}${FIRST_LINE}${line}${FIELDS}${WHOLE_TAIL}`],
];

/** Time in which a connection that is to be closed is closed (ms). */
const MAX_CLOSE_MS = 500;

/** Guards against requests that reach a target with a header, or with a body, that is not the client's. */
describe('a request with an invalid line in its head', () => {
  let frontEnd: FrontEnd | undefined;
  afterEach(() => frontEnd?.stop());

  /** Sends bytes, at once or one by one; returns what was passed on and what the client got until its connection was closed. */
  async function sendBytes(
    text: string,
    isInPieces: boolean,
  ): Promise<Record<'paths' | 'statuses' | 'endings', string[]>> {
    frontEnd?.stop();
    frontEnd = await startFrontEnd({ respond: sendAnswer });
    const { socket, readText } = frontEnd.openClient();
    await once(socket, 'connect');
    const closed = once(socket, 'end');
    for (const piece of isInPieces ? text : [text]) {
      socket.write(piece, 'latin1');
      if (isInPieces) await waitForTurn();
    }
    await Promise.race([closed, wait(MAX_CLOSE_MS)]);
    const answer = readText();
    return {
      paths: frontEnd.passed.map(({ request }) => request.path),
      statuses: [...answer.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status = '']) => status),
      endings: socket.readableEnded ? [...answer.matchAll(/Connection: (\S+)/g)].map(([, ending = '']) => ending) : [],
    };
  }

  for (const [where, build] of forms) {
    const before = build('').startsWith(VALID_REQUEST) ? ['/stock/0'] : [];
    for (const isInPieces of [false, true]) {
      it(`should be refused and end its connection: ${where}${isInPieces ? ', byte by byte' : ''}`, async () => {
        const passedOn: string[] = [];
        for (const [name, line] of [['a valid line', VALID_LINE] as const, ...BROKEN_LINES]) {
          const { paths, statuses, endings } = await sendBytes(build(line), isInPieces);
          if (paths.length > before.length) passedOn.push(name);
          else {
            const expected = { name, statuses: [...before.map(() => '200'), '400'] };
            expect({ name, statuses, ending: endings.at(-1) }).toEqual({ ...expected, ending: 'close' });
          }
        }
        expect(passedOn).toEqual(['a valid line']);
      });
    }
  }
});
