/** A part of a message that consists of lines. */
export type LinesKind = 'requestHead' | 'responseHead' | 'trailers' | 'chunkHeader' | 'chunkEnd';

/**
 * Checks the lines of messages byte by byte, in whatever pieces they arrive: each ends with CR LF; a field line is a token, at
 * once a colon, and a value without control characters other than the tab (RFC 9112, sections 2.2, 5 and 7.1; RFC 9110,
 * section 5). Parsers differ in what else they accept, and a folded line or a bare line break cannot be seen in what they report.
 */
export interface LineSyntax {
  /** True once the last line was read. */
  readonly isComplete: boolean;
  /** What is wrong with the byte that was read last; undefined if it is valid. */
  readonly fault: string | undefined;
  /** Size of the chunk whose header was read last (bytes). */
  readonly chunkBytes: number;
  start(kind: LinesKind): void;
  /** Reads from `start` to the end of the last line or an invalid byte; returns the position after the last byte read. */
  read(bytes: Uint8Array, start: number): number;
}

/** Where the next byte stands. `emptyLineEnd`, `lineEnd` and `lastLineEnd` follow a carriage return. */
const places = [
  'invalid',
  'complete',
  'requestStart',
  'emptyLineEnd',
  'responseStart',
  'startLine',
  'lineEnd',
  'lineStart',
  'name',
  'value',
  'lastLineEnd',
  'chunkStart',
  'chunkSize',
  'chunkExtension',
  'chunkEnd',
] as const;
type Place = (typeof places)[number];

const firstPlaces: Readonly<Record<LinesKind, Place>> = {
  requestHead: 'requestStart',
  responseHead: 'responseStart',
  trailers: 'lineStart',
  chunkHeader: 'chunkStart',
  chunkEnd: 'chunkEnd',
};
const placeTexts: Readonly<Partial<Record<Place, string>>> = {
  requestStart: 'at the start of the request',
  responseStart: 'at the start of the response',
  startLine: 'in the start line',
  lineStart: 'at the start of a field line',
  name: 'in the name of a field',
  value: 'in the value of a field',
  chunkStart: 'at the start of a chunk',
  chunkSize: 'in the size of a chunk',
  chunkExtension: 'in the extension of a chunk',
  chunkEnd: 'at the end of a chunk',
};
const AFTER_CR_TEXT = 'after a carriage return';

const VISIBLE = /[\x21-\x7e]/;
const TEXT = /[\t\x20-\x7e\x80-\xff]/;
const TOKEN = /[!#$%&'*+.^_`|~0-9A-Za-z-]/;
const HEX_DIGIT = /[0-9A-Fa-f]/;
const CR = /\r/;
const LF = /\n/;

/** Bytes that are valid at a place, and the place after them. A request may follow empty lines, a response may not. */
const rules: readonly (readonly [Place, RegExp, Place])[] = [
  ['requestStart', VISIBLE, 'startLine'],
  ['requestStart', CR, 'emptyLineEnd'],
  ['emptyLineEnd', LF, 'requestStart'],
  ['responseStart', VISIBLE, 'startLine'],
  ['startLine', TEXT, 'startLine'],
  ['startLine', CR, 'lineEnd'],
  ['lineEnd', LF, 'lineStart'],
  ['lineStart', TOKEN, 'name'],
  ['lineStart', CR, 'lastLineEnd'],
  ['name', TOKEN, 'name'],
  ['name', /:/, 'value'],
  ['value', TEXT, 'value'],
  ['value', CR, 'lineEnd'],
  ['lastLineEnd', LF, 'complete'],
  ['chunkStart', HEX_DIGIT, 'chunkSize'],
  ['chunkSize', HEX_DIGIT, 'chunkSize'],
  ['chunkSize', /;/, 'chunkExtension'],
  ['chunkSize', CR, 'lastLineEnd'],
  ['chunkExtension', TEXT, 'chunkExtension'],
  ['chunkExtension', CR, 'lastLineEnd'],
  ['chunkEnd', CR, 'lastLineEnd'],
];

const BYTE_VALUES = 256;
const INVALID = places.indexOf('invalid');
const COMPLETE = places.indexOf('complete');
const CHUNK_SIZE = places.indexOf('chunkSize');
const VALUE = places.indexOf('value');
const HEX_BASE = 16;

/** Numbers of the next places, by the number of the place and the byte. */
const nextPlaces = buildNextPlaces();

function buildNextPlaces(): Uint8Array {
  const table = new Uint8Array(places.length * BYTE_VALUES).fill(INVALID);
  for (const [place, bytes, next] of rules) {
    for (let byte = 0; byte < BYTE_VALUES; byte++)
      if (bytes.test(String.fromCharCode(byte)))
        table[places.indexOf(place) * BYTE_VALUES + byte] = places.indexOf(next);
  }
  return table;
}

/**
 * Creates the check of the lines on one connection; `start` must be called before the first line.
 *
 * @example
 * const lines = createLineSyntax();
 * lines.start('trailers');
 * lines.read(Buffer.from('X-Odd : 1\r\n'), 0); // 6; `fault` is 'invalid byte 0x20 in the name of a field'
 */
export function createLineSyntax(): LineSyntax {
  let place = COMPLETE;
  let chunkBytes = 0;
  let fault: string | undefined;
  const addDigit = (byte: number): boolean => {
    chunkBytes = chunkBytes * HEX_BASE + Number.parseInt(String.fromCharCode(byte), HEX_BASE);
    return Number.isSafeInteger(chunkBytes);
  };
  return {
    get isComplete() {
      return place === COMPLETE;
    },
    get fault() {
      return fault;
    },
    get chunkBytes() {
      return chunkBytes;
    },
    start: (kind) => {
      place = places.indexOf(firstPlaces[kind]);
      if (kind === 'chunkHeader') chunkBytes = 0;
    },
    read: (bytes, start) => {
      // Local variables, as this runs for each byte of a head.
      const { length } = bytes;
      let index = start;
      let before = place;
      let after = place;
      while (index < length && after !== COMPLETE && after !== INVALID) {
        const byte = bytes[index++] ?? 0;
        before = after;
        after = nextPlaces[before * BYTE_VALUES + byte] ?? INVALID;
        if (after === CHUNK_SIZE && !addDigit(byte)) after = INVALID;
        else if (after === VALUE) index = readValue(bytes, index);
      }
      place = after;
      if (after === INVALID) fault ??= describeFault(before, bytes[index - 1] ?? 0);
      return index;
    },
  };
}

/** Returns the position after the next bytes of a value, which most bytes of a head are; faster than place by place. */
function readValue(bytes: Uint8Array, start: number): number {
  const { length } = bytes;
  let index = start;
  while (index < length && nextPlaces[VALUE * BYTE_VALUES + (bytes[index] ?? 0)] === VALUE) index++;
  return index;
}

function describeFault(place: number, byte: number): string {
  const text = placeTexts[places[place] ?? 'invalid'] ?? AFTER_CR_TEXT;
  return `invalid byte 0x${byte.toString(HEX_BASE).padStart(2, '0')} ${text}`;
}
