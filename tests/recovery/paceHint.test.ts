import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { addPace, createPaceHint, decaySlowdown, readSlowdown } from '../../src/policy/paceHint.js';
import { chooseTarget } from '../../src/policy/targetChoice.js';
import type { TargetCandidate } from '../../src/policy/targetChoice.js';
import { createUnknownLoad } from '../../src/control/requests/sections.js';

function buildCandidate(host: string, slowdown: number, loadAgeMs = 0): TargetCandidate {
  return {
    host,
    isOwnHost: false,
    isLocalDataCenter: true,
    isUntried: false,
    loadAgeMs,
    load: { ...createUnknownLoad(), phase: 'ready', limit: 50, running: 10, slowdown },
    speed: { slowness: 1, samples: 30 },
    sentSinceReport: 0,
  };
}

/** Lets each of several nodes choose once by the same reports; returns the share that chose each host. */
function computeShares(candidates: readonly TargetCandidate[]): number[] {
  const random = createRandom(3);
  const times = { routeDurationMs: 100, serviceDurationMs: 100, targetLatencyMs: 1000 };
  const counts = new Map<string, number>();
  const nodes = 3000;
  for (let node = 0; node < nodes; node++) {
    const host = chooseTarget({ candidates, ...times, isBulk: false, random })?.host ?? '';
    counts.set(host, (counts.get(host) ?? 0) + 1);
  }
  return candidates.map(({ host }) => (counts.get(host) ?? 0) / nodes);
}

describe('pace hint', () => {
  it('should tell how much longer work takes now than in the recent answers', () => {
    const hint = createPaceHint();
    for (let index = 0; index < 31; index++) addPace(hint, 1, 0);
    addPace(hint, 2.5, 0);
    const slowdown = readSlowdown(hint, 0);
    expect(slowdown > 2.3 && slowdown < 2.5).toEqual(true);
  });

  // Guards against counting a target as slow twice, by its durations and by its hint.
  it('should tell nothing of a target that is slow all the time', () => {
    const hint = createPaceHint();
    for (let index = 0; index < 100; index++) addPace(hint, 3, 0);
    expect(readSlowdown(hint, 0)).toEqual(1);
  });

  it('should lose its weight with its age', () => {
    expect([decaySlowdown(3, 0), decaySlowdown(3, 300) < 1.8, decaySlowdown(3, 2000) < 1.01]).toEqual([3, true, true]);
  });

  for (const pace of [0, -1, NaN, Infinity, 1000]) {
    it(`should ignore a pace of ${pace}`, () => {
      const hint = createPaceHint();
      addPace(hint, pace, 0);
      expect(readSlowdown(hint, 0)).toEqual(1);
    });
  }

  // Guards against many nodes that rush to the target with the best figure, which is old when they arrive.
  it('should not draw requests to a target that says it is fast', () => {
    const hint = createPaceHint();
    for (let index = 0; index < 31; index++) addPace(hint, 1, 0);
    addPace(hint, 0.2, 0);
    const shares = computeShares([buildCandidate('fast', readSlowdown(hint, 0)), buildCandidate('usual', 1)]);
    for (const share of shares) expect(share > 0.45).toEqual(true);
  });

  it('should keep requests away from a target while it takes much longer, and not by an old report', () => {
    const [slow = 0] = computeShares([buildCandidate('slow', 2.5), buildCandidate('a', 1), buildCandidate('b', 1)]);
    expect(slow < 0.02).toEqual(true);
    const [stale = 0] = computeShares([
      buildCandidate('slow', 2.5, 1500),
      buildCandidate('a', 1),
      buildCandidate('b', 1),
    ]);
    expect(stale > 0.25).toEqual(true);
  });
});
