import { Agent } from 'undici';
import { createRandom, generateExponential } from '../core/random.js';
import type { Random } from '../core/random.js';
import { createLoadRecorder } from './loadRecorder.js';
import { createLoadSender } from './loadSender.js';
import { computeLoadFactor } from './loadShape.js';
import type { LoadOperation, LoadReport, LoadSettings } from './loadSettings.js';

export interface LoadProgress {
  elapsedS: number;
  offered: number;
  open: number;
}

const TICK_MS = 5;
const PROGRESS_INTERVAL_MS = 500;
const CONNECTIONS_PER_ADDRESS = 1024;

/**
 * Sends load in an open loop: requests start at their scheduled times, whether or not earlier ones have finished.
 *
 * @example
 * const report = await runLoad(settings, { printProgress: (progress) => print(progress.offered) });
 */
export async function runLoad(
  settings: LoadSettings,
  options: { printProgress?: (progress: LoadProgress) => void } = {},
): Promise<LoadReport> {
  const agent = new Agent({ connections: CONNECTIONS_PER_ADDRESS, pipelining: 1 });
  const random = createRandom(settings.seed);
  const recorder = createLoadRecorder(settings.mix);
  const send = createLoadSender(settings, agent);
  const open = new Set<Promise<void>>();
  const startedAtMs = performance.now();
  const computeElapsedMs = (): number => performance.now() - startedAtMs;
  let offered = 0;

  const sendNext = (offeredAtMs: number): void => {
    const operation = chooseOperation(settings.mix, random);
    const callerId = `caller-${Math.floor(random() * settings.callers)}`;
    const completion = send({ operation, callerId, body: JSON.stringify(`request ${offered}`) }).then(
      ({ result, resends }) => {
        recorder.record({ operation, offeredAtMs, settledAtMs: computeElapsedMs(), resends, result });
        open.delete(completion);
      },
    );
    offered++;
    open.add(completion);
  };
  const progressTimer = setInterval(() => {
    options.printProgress?.({ elapsedS: computeElapsedMs() / 1000, offered, open: open.size });
  }, PROGRESS_INTERVAL_MS);

  let nextAtMs = generateInterarrivalMs(settings, random, 0);
  while (nextAtMs < settings.durationS * 1000) {
    while (nextAtMs <= computeElapsedMs()) {
      sendNext(nextAtMs);
      nextAtMs += generateInterarrivalMs(settings, random, nextAtMs);
    }
    await new Promise((resolve) => setTimeout(resolve, TICK_MS));
  }
  await Promise.all(open);
  clearInterval(progressTimer);
  await agent.destroy();
  return recorder.buildReport(settings.seed, settings.durationS);
}

function generateInterarrivalMs(settings: LoadSettings, random: Random, atMs: number): number {
  const rate = settings.ratePerSecond * computeLoadFactor(settings.shape, atMs / 1000);
  return generateExponential(random, 1000 / rate);
}

function chooseOperation(mix: readonly LoadOperation[], random: Random): LoadOperation {
  const total = mix.reduce((sum, { share }) => sum + share, 0);
  let remaining = random() * total;
  for (const operation of mix) {
    remaining -= operation.share;
    if (remaining < 0) return operation;
  }
  return mix[mix.length - 1] as LoadOperation;
}

/** Minimum share of the offered requests that complete in a recovered interval. */
const MIN_RECOVERED_SHARE = 0.95;

/**
 * Computes the time from `fromS` to the recovery (s): the start of the first two consecutive intervals in which at least
 * 95% of the offered requests completed. Returns undefined if there was no recovery.
 */
export function computeRecoveryTime(report: LoadReport, fromS: number): number | undefined {
  const intervals = report.intervals.filter(({ atS, offered }) => atS >= fromS && offered > 0);
  const isRecovered = intervals.map(({ completed, offered }) => completed >= MIN_RECOVERED_SHARE * offered);
  const index = isRecovered.findIndex((recovered, at) => recovered && isRecovered[at + 1] === true);
  const recovery = intervals[index];
  return recovery === undefined ? undefined : recovery.atS - fromS;
}
