import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import { chooseTargetMember } from '../../src/policy/routing.js';
import type { MemberCandidate } from '../../src/policy/routing.js';
import type { RouteState } from '../../src/schema/state.js';

const idleRoute: RouteState = {
  inFlight: 0,
  latencyMs: 10,
  failureRate: 0,
  consecutiveFailures: 0,
  ejectedUntilMs: 0,
  ejectionMs: 1000,
};

function createCandidate(id: string, isLocalDataCenter: boolean, state?: Partial<RouteState>): MemberCandidate {
  const member = { id } as MemberCandidate['member'];
  return { member, isLocalDataCenter, state: state === undefined ? undefined : { ...idleRoute, ...state } };
}

function chooseMany(candidates: MemberCandidate[]): Map<string, number> {
  const random = createRandom(5);
  const counts = new Map<string, number>();
  for (let index = 0; index < 200; index++) {
    const id = chooseTargetMember({ candidates, nowMs: 100, random })?.id ?? 'none';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

const saturated = { load: { limit: 8, inFlight: 8, queued: 9 } };
const unsaturated = { load: { limit: 8, inFlight: 2, queued: 0 } };

describe('routing', () => {
  it('should choose local targets while one of them has capacity', () => {
    const counts = chooseMany([createCandidate('near', true, unsaturated), createCandidate('far', false, unsaturated)]);
    expect(counts.get('near')).toEqual(200);
  });

  it('should fail over from a saturated data centre only to targets with spare capacity', () => {
    const near = createCandidate('near', true, saturated);
    expect(chooseMany([near, createCandidate('far', false, unsaturated)]).get('far')).toEqual(200);
    expect(chooseMany([near, createCandidate('far', false, saturated)]).get('near')).toEqual(200);
  });

  it('should prefer the faster of two targets', () => {
    const counts = chooseMany([
      createCandidate('fast', true, { latencyMs: 10 }),
      createCandidate('slow', true, { latencyMs: 80 }),
    ]);
    expect(counts.get('fast') ?? 0).toBeGreaterThan(counts.get('slow') ?? 0);
  });

  it('should send single trial calls when all targets are ejected, so that a recovery is detected', () => {
    const idle = createCandidate('idle', true, { ejectedUntilMs: 1000 });
    const busy = createCandidate('busy', true, { ejectedUntilMs: 1000, inFlight: 1 });
    expect(chooseMany([busy, idle]).get('idle')).toEqual(200);
    expect(chooseMany([busy]).get('none')).toEqual(200);
  });
});
