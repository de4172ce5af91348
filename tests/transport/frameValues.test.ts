import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Packr } from 'msgpackr';
import { hasTooManyValues, MAX_FRAME_VALUES } from '../../src/transport/frameValues.js';

describe('the number of values in a frame', () => {
  const encoder = new Packr({ sequential: true });
  const samples: readonly (readonly [string, unknown])[] = [
    ['small numbers', 1],
    ['large and negative numbers', [70_000, -5, -70_000, 2 ** 40, 0.5]],
    ['short and long texts', ['a', 'b'.repeat(40), 'c'.repeat(300), 'd'.repeat(70_000)]],
    ['bytes', new Uint8Array(70_000).fill(0x80)],
    ['records', { name: 'a', nested: { slots: 3, missing: undefined } }],
  ];

  // Guards against the refusal of large frames of peers: only values may be counted, not the bytes of texts and bodies.
  for (const [what, sample] of samples) {
    it(`should take large frames of few values: ${what}`, () => {
      const body = new Uint8Array(MAX_FRAME_VALUES).fill(0x80);
      expect(hasTooManyValues(encoder.pack([body, ...Array.from({ length: 9 }, () => sample)]))).toEqual(false);
    });
  }

  // Guards against frames that take many times their size in memory.
  for (const item of [{}, [], 'a', { a: 1 }, 1, undefined]) {
    it(`should find too many values: ${JSON.stringify(item) ?? 'undefined'}`, () => {
      const count = MAX_FRAME_VALUES;
      expect(hasTooManyValues(encoder.pack(Array.from({ length: count }, () => item)))).toEqual(true);
      expect(hasTooManyValues(encoder.pack(Array.from({ length: count / 5 }, () => item)))).toEqual(false);
    });
  }

  // Guards against a count that loses its place in records of many shapes, whose ids take more than one byte.
  it('should take large frames of records of many shapes', () => {
    const records = Array.from({ length: 20_000 }, (_, index) => ({ [`key${index % 150}`]: 1, same: 'x'.repeat(200) }));
    expect(hasTooManyValues(encoder.pack(records))).toEqual(false);
  });
});
