import { describe, it } from 'node:test';
import { expect } from 'earl';
import { computeRecoveryTime } from '../../src/standins/load.js';
import { createLoadRecorder } from '../../src/standins/loadRecorder.js';
import type { RequestResult } from '../../src/standins/loadRecorder.js';
import { loadReportSchema } from '../../src/standins/loadSettings.js';
import type { LoadOperation, LoadShape } from '../../src/standins/loadSettings.js';
import { computeLoadFactor } from '../../src/standins/loadShape.js';
import { compileSchema } from '../../src/schema/validate.js';

const operation: LoadOperation = {
  service: 's',
  operation: 'o',
  priority: 'p',
  idempotent: true,
  share: 1,
  deadlineMs: 100,
};

describe('load report', () => {
  const buildReport = (results: readonly (readonly [number, RequestResult])[]) => {
    const recorder = createLoadRecorder([operation]);
    for (const [offeredAtMs, result] of results) {
      recorder.record({ operation, offeredAtMs, settledAtMs: offeredAtMs + 20, resends: 1, result });
    }
    return recorder.buildReport(1, 2);
  };

  it('should count each request once, by its result', () => {
    const report = buildReport([
      [0, 'completed'],
      [10, 'refused'],
      [600, 'failed'],
      [700, 'completed'],
    ]);
    expect(compileSchema(loadReportSchema).listFaults(report)).toEqual([]);
    const counts = { offered: 4, completed: 2, refused: 1, failed: 1 };
    expect(report.total).toEqual(counts);
    expect(report.groups).toEqual([
      {
        service: 's',
        priority: 'p',
        ...counts,
        p50Ms: expect.closeTo(20, 0.1),
        p99Ms: expect.closeTo(20, 0.1),
        resendsPerRequest: 1,
      },
    ]);
    expect(report.intervals.map(({ offered, goodputPerSecond }) => [offered, goodputPerSecond])).toEqual([
      [2, 2],
      [2, 2],
    ]);
  });

  it('should detect recovery only where requests complete in two consecutive intervals', () => {
    const report = buildReport([
      [100, 'failed'],
      [600, 'completed'],
      [1100, 'failed'],
      [1600, 'completed'],
      [2100, 'completed'],
    ]);
    expect(computeRecoveryTime(report, 0)).toEqual(1.5);
    expect(computeRecoveryTime(report, 1)).toEqual(0.5);
    expect(computeRecoveryTime(report, 2)).toEqual(undefined);
  });
});

describe('load shapes', () => {
  const cases: { shape: LoadShape; factors: [number, number][] }[] = [
    {
      shape: { kind: 'steady' },
      factors: [
        [0, 1],
        [9, 1],
      ],
    },
    {
      shape: { kind: 'step', factor: 3, fromS: 2, toS: 4 },
      factors: [
        [1.9, 1],
        [2, 3],
        [3.9, 3],
        [4, 1],
      ],
    },
    {
      shape: { kind: 'ramp', factor: 3, fromS: 2, toS: 4 },
      factors: [
        [2, 1],
        [3, 2],
        [3.5, 2.5],
        [4, 1],
      ],
    },
    {
      shape: { kind: 'spikes', factor: 5, periodS: 2, lengthS: 0.5 },
      factors: [
        [0, 5],
        [0.5, 1],
        [2.25, 5],
        [3, 1],
      ],
    },
  ];
  for (const { shape, factors } of cases) {
    it(`should compute the load factor of the shape ${shape.kind}`, () => {
      expect(factors.map(([atS]) => computeLoadFactor(shape, atS))).toEqual(factors.map(([, factor]) => factor));
    });
  }
});
