import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { chooseRoute } from '../../src/policy/routing.js';
import type { RouteCandidate } from '../../src/policy/routing.js';
import type { RouteState } from '../../src/schema/state.js';

const idleRoute: RouteState = {
  inFlight: 0,
  latencyMs: 10,
  failureRate: 0,
  consecutiveFailures: 0,
  ejectedUntilMs: 0,
  ejectionMs: 1000,
};

function createCandidate(id: string, isLocalDataCenter: boolean, state?: Partial<RouteState>): RouteCandidate {
  const member = { id } as RouteCandidate['member'];
  return { member, isLocalDataCenter, state: state === undefined ? undefined : { ...idleRoute, ...state } };
}

function chooseMany(candidates: RouteCandidate[]): Map<string, number> {
  const random = createRandom(5);
  const counts = new Map<string, number>();
  for (let index = 0; index < 200; index++) {
    const id = chooseRoute({ candidates, nowMs: 100, random })?.id ?? 'none';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

const saturated = { load: { limit: 8, inFlight: 8, queued: 9 } };
const roomy = { load: { limit: 8, inFlight: 2, queued: 0 } };

describe('routing', () => {
  it('should stay in the local data centre while a target there can take calls', () => {
    const counts = chooseMany([createCandidate('near', true, roomy), createCandidate('far', false, roomy)]);
    expect(counts.get('near')).toEqual(200);
  });

  it('should spill over from a saturated data centre only into room', () => {
    const near = createCandidate('near', true, saturated);
    expect(chooseMany([near, createCandidate('far', false, roomy)]).get('far')).toEqual(200);
    expect(chooseMany([near, createCandidate('far', false, saturated)]).get('near')).toEqual(200);
  });

  it('should prefer the faster of unequal targets', () => {
    const counts = chooseMany([
      createCandidate('fast', true, { latencyMs: 10 }),
      createCandidate('slow', true, { latencyMs: 80 }),
    ]);
    expect(counts.get('fast') ?? 0).toBeGreaterThan(counts.get('slow') ?? 0);
  });

  it('should send single trial calls where every target is ejected, so that a return is found', () => {
    const idle = createCandidate('idle', true, { ejectedUntilMs: 1000 });
    const busy = createCandidate('busy', true, { ejectedUntilMs: 1000, inFlight: 1 });
    expect(chooseMany([busy, idle]).get('idle')).toEqual(200);
    expect(chooseMany([busy]).get('none')).toEqual(200);
  });
});
