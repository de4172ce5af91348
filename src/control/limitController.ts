import { scheduleRepeated } from '../core/clock.js';
import type { LimitWindow } from '../policy/limit.js';
import { serviceConfigurationDefaults } from '../schema/serviceConfiguration.js';
import type { Controller, ControllerContext } from './context.js';

const ADJUST_PERIOD_MS = 100;
/** With fewer samples the mean own time says too little; the window stays open until it has them. */
const MIN_SAMPLES = 8;

/** Writes the concurrency limit of the local target from the own times of its calls. */
export function createLimitController(context: ControllerContext): Controller {
  const { board, clock, policies } = context;
  const limits = board.claim('limits', 'limitController');
  const samples = board.read('samples').ring;
  let cursor = samples.end;
  let stopTimer = (): void => undefined;

  const restart = (concurrency: number): void => {
    Object.assign(limits.section, { concurrency, isSlowStart: true, leastOwnTimeMs: 0, ownTimeMs: 0 });
    limits.publishChange();
  };
  limits.handlePosts((post) => {
    restart(post.concurrency);
  });

  const adjust = (): void => {
    const window = collectWindow(samples.listFrom(cursor));
    if (window.count < MIN_SAMPLES && samples.end - cursor < MIN_SAMPLES) return;
    cursor = samples.end;
    const before = Math.floor(limits.section.concurrency);
    Object.assign(limits.section, policies.adjustLimit(limits.section, window));
    const after = Math.floor(limits.section.concurrency);
    if (after === before) return;
    limits.publishChange();
    board.post('events', { kind: 'limitChanged', data: { before, after, ownTimeMs: window.meanOwnTimeMs } });
  };
  return {
    start: () => {
      restart(serviceConfigurationDefaults.concurrencyHint);
      stopTimer = scheduleRepeated(clock, ADJUST_PERIOD_MS, adjust);
    },
    stop: () => {
      stopTimer();
    },
  };
}

function collectWindow(
  samples: readonly { role: string; result: string; ran: string; ownTimeMs: number; concurrency: number }[],
): LimitWindow {
  const window = { count: 0, meanOwnTimeMs: 0, minOwnTimeMs: Infinity, peakConcurrency: 0, refusals: 0 };
  for (const sample of samples) {
    if (sample.role !== 'run') continue;
    if (sample.result === 'failed' && sample.ran !== 'yes') {
      window.refusals++;
      continue;
    }
    window.count++;
    window.meanOwnTimeMs += (sample.ownTimeMs - window.meanOwnTimeMs) / window.count;
    window.minOwnTimeMs = Math.min(window.minOwnTimeMs, sample.ownTimeMs);
    window.peakConcurrency = Math.max(window.peakConcurrency, sample.concurrency);
  }
  return window;
}
