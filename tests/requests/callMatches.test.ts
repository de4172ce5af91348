import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createRandom } from '../../src/core/random.js';
import {
  addMatches,
  addMatchSample,
  createCallMatchEstimator,
  estimateMatchedCalls,
  mergeCallEstimates,
} from '../../src/policy/callMatches.js';
import type { MatchCounts } from '../../src/policy/callMatches.js';
import type { RunUnderWay } from '../../src/policy/parentRun.js';

describe('calls found by their time left', () => {
  // Guards against limits on a route that shares a service with one that makes calls, and on requests of clients.
  it('should be attributed to the route whose runs make them, and not be found for requests of clients', () => {
    const random = createRandom(4);
    const matches: MatchCounts = new Map();
    const ran = new Map([
      ['ledger', 0],
      ['page', 0],
    ]);
    let runs: RunUnderWay[] = [];
    for (let nowMs = 0; nowMs < 3000; nowMs += 5) {
      runs = runs.filter(({ deadlineAtMs }) => deadlineAtMs > nowMs + 800);
      const route = random() < 0.5 ? 'ledger' : 'page';
      const run = { route, priority: 1, deadlineAtMs: nowMs + 800 + 200 * random() };
      runs.push(run);
      ran.set(route, (ran.get(route) ?? 0) + 1);
      const timeLeftMs = run.deadlineAtMs - nowMs + 1;
      if (route === 'ledger') addMatches(matches, runs, { called: 'scan', timeLeftMs, nowMs });
      addMatches(matches, runs, { called: 'query', timeLeftMs: 800 + 200 * random(), nowMs });
    }
    const estimator = createCallMatchEstimator();
    addMatchSample(estimator, ran, matches);
    const [call, ...others] = estimateMatchedCalls(estimator);
    expect([call?.ran, call?.called, others.length]).toEqual(['ledger', 'scan', 0]);
    expect(Math.abs((call?.perRun ?? 0) - 1) < 0.25).toEqual(true);
  });

  // Guards against calls found between routes of clients whose requests all carry the same time limit.
  it('should not be found for requests of clients with the time limit of runs that have just started', () => {
    const random = createRandom(8);
    const matches: MatchCounts = new Map();
    let runs: RunUnderWay[] = [];
    for (let nowMs = 0; nowMs < 4000; nowMs += 2) {
      runs = runs.filter(({ deadlineAtMs }) => deadlineAtMs > nowMs + 1400);
      if (random() < 0.4) runs.push({ route: 'lookup', priority: 1, deadlineAtMs: nowMs + 1500 - random() });
      if (random() < 0.4) addMatches(matches, runs, { called: 'page', timeLeftMs: 1500, nowMs });
    }
    const estimator = createCallMatchEstimator();
    addMatchSample(estimator, new Map([['lookup', 800]]), matches);
    expect(estimateMatchedCalls(estimator)).toEqual([]);
  });

  it('should replace correlated estimates only if most calls carry the time left of their run', () => {
    const ran = new Map([
      ['ledger', 100],
      ['page', 50],
    ]);
    const correlated = [
      { ran: 'ledger', called: 'scan', perRun: 0.8 },
      { ran: 'page', called: 'scan', perRun: 0.4 },
      { ran: 'ledger', called: 'roll', perRun: 4 },
    ];
    const matched = [
      { ran: 'ledger', called: 'scan', perRun: 1.1 },
      { ran: 'ledger', called: 'roll', perRun: 1 },
    ];
    const merged = mergeCallEstimates(correlated, matched, ran);
    expect(merged.map((call) => ({ ...call, perRun: Math.round(call.perRun * 10) / 10 }))).toEqual([
      { ran: 'ledger', called: 'scan', perRun: 1 },
      { ran: 'ledger', called: 'roll', perRun: 4 },
    ]);
  });
});
