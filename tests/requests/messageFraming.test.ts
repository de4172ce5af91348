import { HTTPParser } from 'node:_http_common';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createLineSyntax } from '../../src/http/lineSyntax.js';
import type { LinesKind } from '../../src/http/lineSyntax.js';
import { createMessageParser } from '../../src/http/messageParser.js';
import type { MessageKind } from '../../src/http/messageFraming.js';

const ALL_BYTES = Array.from({ length: 256 }, (_, byte) => String.fromCharCode(byte));
const TOKEN_BYTES = [..."!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"];
const TEXT_BYTES = ALL_BYTES.filter((byte) => byte === '\t' || (byte >= ' ' && byte !== '\x7f'));

/** Returns true if the lines are valid and end with the last byte. */
function isValid(kind: LinesKind, text: string): boolean {
  const lines = createLineSyntax();
  lines.start(kind);
  return lines.read(Buffer.from(text, 'latin1'), 0) === text.length && lines.isComplete;
}

const formatBytes = (bytes: readonly string[]): string => Buffer.from(bytes.join(''), 'latin1').toString('hex');

/** Guards against heads that only some releases of Node's parser refuse. */
describe('line syntax', () => {
  const cases: [string, LinesKind, (byte: string) => string, readonly string[]][] = [
    ['a name', 'trailers', (byte) => `X${byte}d: 1\r\n\r\n`, [...TOKEN_BYTES, ':']],
    ['the start of a name', 'trailers', (byte) => `${byte}: 1\r\n\r\n`, TOKEN_BYTES],
    ['the end of a name', 'trailers', (byte) => `X${byte}: 1\r\n\r\n`, [...TOKEN_BYTES, ':']],
    ['a value', 'trailers', (byte) => `X: a${byte}b\r\n\r\n`, TEXT_BYTES],
    ['a reason phrase', 'responseHead', (byte) => `HTTP/1.1 200 O${byte}K\r\n\r\n`, TEXT_BYTES],
    ['the end of a line', 'trailers', (byte) => `X: 1\r${byte}\r\n`, ['\n']],
    ['the end of a head', 'trailers', (byte) => `X: 1\r\n\r${byte}`, ['\n']],
    ['the size of a chunk', 'chunkHeader', (byte) => `${byte}\r\n`, [...'0123456789ABCDEFabcdef']],
    ['the end of a size', 'chunkHeader', (byte) => `4${byte}\r\n`, [...'0123456789;ABCDEFabcdef']],
    ['an extension', 'chunkHeader', (byte) => `4;a=${byte}\r\n`, TEXT_BYTES],
    ['the end of a chunk', 'chunkEnd', (byte) => `${byte}\n`, ['\r']],
  ];
  for (const [where, kind, build, valid] of cases) {
    it(`should accept only what the protocol allows in ${where}`, () => {
      const accepted = ALL_BYTES.filter((byte) => isValid(kind, build(byte)));
      expect(formatBytes(accepted)).toEqual(formatBytes([...valid].sort()));
    });
  }

  it('should accept empty lines before a request only', () => {
    expect(isValid('requestHead', '\r\n\r\nGET / HTTP/1.1\r\n\r\n')).toEqual(true);
    expect(isValid('requestHead', '\nGET / HTTP/1.1\r\n\r\n')).toEqual(false);
    expect(isValid('responseHead', '\r\nHTTP/1.1 200 OK\r\n\r\n')).toEqual(false);
  });

  // Guards against a size that cannot be counted, after which the next head would be taken for a part of the body.
  it('should refuse a chunk larger than can be counted', () => {
    expect(isValid('chunkHeader', `${'0'.repeat(40)}1fffffffffffff\r\n`)).toEqual(true);
    expect(isValid('chunkHeader', '20000000000000\r\n')).toEqual(false);
  });
});

/** Parses text in pieces of a size; returns the heads, bodies and ends of its messages, and the fault. */
function parseText(kind: MessageKind, text: string, pieceBytes: number): string[] {
  const seen: string[] = [];
  const parser = createMessageParser(kind, {
    head: ({ method, status, rawHeaders }) => {
      seen.push(`${method}${status} ${rawHeaders.join(',')} `);
    },
    body: (part) => {
      seen.push(`${seen.pop() ?? ''}${part.toString('latin1')}`);
    },
    end: () => {
      seen.push(`${seen.pop() ?? ''}.`);
    },
  });
  const bytes = Buffer.from(text, 'latin1');
  for (let start = 0; start < bytes.length; start += pieceBytes) {
    const fault = parser.parse(bytes.subarray(start, start + pieceBytes));
    if (fault !== undefined) return [...seen, fault.code];
  }
  parser.close();
  return seen;
}

describe('message parser', () => {
  const chunked = 'Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0a\r\n0123: 6789\r\n0\r\nX-Odd: 1\r\n\r\n';
  const requests = [
    'GET /1 HTTP/1.1\r\nA: 1\r\n\r\n',
    '\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 9\r\n\r\n X: 1\r\n\r\n',
    `POST /3 HTTP/1.1\r\n${chunked}`,
    'POST /4 HTTP/1.1\r\nContent-Length: 0\r\n\r\n',
    'GET /5 HTTP/1.1\r\n\r\n',
  ].join('');
  const responses = [
    'HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n',
    'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n X: 1\r\n\r\n',
    `HTTP/1.1 200 OK\r\n${chunked}`,
    'HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\n',
    'HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n',
    'HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n',
    'HTTP/1.1 200 OK\r\n\r\nup to the close: X Odd: 1\r\n',
  ].join('');

  // Guards against a body that is taken for a head, or a head for a body, where a read ends anywhere in a message.
  it('should find the same messages whatever the pieces in which they arrive', () => {
    const body = 'abc0123: 6789';
    expect(parseText('request', requests, Infinity)).toEqual([
      'GET0 A,1 .',
      'POST0 Content-Length,9  X: 1\r\n\r\n.',
      `POST0 Transfer-Encoding,chunked ${body}.`,
      'POST0 Content-Length,0 .',
      'GET0  .',
    ]);
    expect(parseText('response', responses, Infinity)).toEqual([
      '103 Content-Length,4 .',
      '200 Content-Length,9  X: 1\r\n\r\n.',
      `200 Transfer-Encoding,chunked ${body}.`,
      '204 Content-Length,4 .',
      '304 Content-Length,4 .',
      '200 Content-Length,0 .',
      '200  up to the close: X Odd: 1\r\n',
    ]);
    for (const [kind, text] of [
      ['request', requests],
      ['response', responses],
    ] as const)
      for (let pieceBytes = 1; pieceBytes < text.length; pieceBytes++)
        expect(parseText(kind, text, pieceBytes)).toEqual(parseText(kind, text, Infinity));
  });

  // Guards against a release of Node whose parser reads another body, or another end, than the framing of the message says.
  for (const [read, expected] of [
    ['0\r\n\r\n', '200 Transfer-Encoding,chunked '],
    ['3\r\nbod\r\n', '200 Transfer-Encoding,chunked bod'],
    ['9\r\nbody', '200 Transfer-Encoding,chunked body0\r\n\r\n'],
  ] as const) {
    it(`should not report the end of a message that the parser reads as another one: ${JSON.stringify(read)}`, (context) => {
      const { execute } = HTTPParser.prototype;
      context.mock.method(HTTPParser.prototype, 'execute', function (this: HTTPParser, chunk: Uint8Array) {
        const text = Buffer.from(chunk).toString('latin1').replace('4\r\nbody\r\n', read);
        return execute.call(this, Buffer.from(text, 'latin1'));
      });
      const text = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n';
      const [message, code = ''] = parseText('response', text, Infinity);
      expect(message).toEqual(expected);
      expect(code).toMatchRegex(/^(HPE_\w+|INVALID_SYNTAX)$/);
    });
  }

  // Guards against a body whose end is guessed, so that its bytes are taken for the next message or the reverse.
  for (const fields of [
    'Content-Length: 4\r\nContent-Length: 5\r\n',
    'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n',
    'Content-Length: 4, 4\r\n',
    'Content-Length: -4\r\n',
    'Content-Length: 0x4\r\n',
    'Content-Length: 9007199254740993\r\n',
    'Transfer-Encoding: gzip\r\n',
    'Transfer-Encoding: chunked,\r\n',
    'Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n',
  ]) {
    it(`should report no head that does not tell the length of its body: ${JSON.stringify(fields)}`, () => {
      for (const [kind, line] of [
        ['request', 'POST / HTTP/1.1'],
        ['response', 'HTTP/1.1 200 OK'],
      ] as const) {
        const seen = parseText(kind, `${line}\r\n${fields}\r\n4\r\nbody\r\n0\r\n\r\n`, Infinity);
        expect(seen.length).toEqual(1);
        expect(seen[0] ?? '').toMatchRegex(/^(HPE_\w+|INVALID_SYNTAX)$/);
      }
    });
  }
});
