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
const PROGRESS_PERIOD_MS = 500;
const CONNECTIONS_PER_ADDRESS = 1024;

/**
 * Offers load in an open loop: requests start at their times whether or not earlier ones are answered.
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
  const computeElapsed = (): number => performance.now() - startedAtMs;
  let offered = 0;

  const sendNext = (offeredAtMs: number): void => {
    const operation = chooseOperation(settings.mix, random);
    const callerId = `caller-${Math.floor(random() * settings.callers)}`;
    const sent = send({ operation, callerId, body: JSON.stringify(`request ${offered}`) }).then(
      ({ result, resends }) => {
        recorder.record({ operation, offeredAtMs, settledAtMs: computeElapsed(), resends, result });
        open.delete(sent);
      },
    );
    offered++;
    open.add(sent);
  };
  const progressTimer = setInterval(() => {
    options.printProgress?.({ elapsedS: computeElapsed() / 1000, offered, open: open.size });
  }, PROGRESS_PERIOD_MS);

  let nextAtMs = generateGap(settings, random, 0);
  while (nextAtMs < settings.durationS * 1000) {
    while (nextAtMs <= computeElapsed()) {
      sendNext(nextAtMs);
      nextAtMs += generateGap(settings, random, nextAtMs);
    }
    await new Promise((resolve) => setTimeout(resolve, TICK_MS));
  }
  await Promise.all(open);
  clearInterval(progressTimer);
  await agent.destroy();
  return recorder.buildReport(settings.seed, settings.durationS);
}

function generateGap(settings: LoadSettings, random: Random, atMs: number): number {
  const rate = settings.ratePerSecond * computeLoadFactor(settings.shape, atMs / 1000);
  return generateExponential(random, 1000 / rate);
}

function chooseOperation(mix: readonly LoadOperation[], random: Random): LoadOperation {
  const total = mix.reduce((sum, { share }) => sum + share, 0);
  let left = random() * total;
  for (const operation of mix) {
    left -= operation.share;
    if (left < 0) return operation;
  }
  return mix[mix.length - 1] as LoadOperation;
}

/** Share of offered requests that must complete for the fleet to count as recovered. */
const RECOVERED_SHARE = 0.95;

/**
 * Computes how long after a time (s) requests began to complete again: the start of the first two intervals in a row in
 * which at least 95% of the offered requests completed. Undefined when that did not happen.
 */
export function computeRecovery(report: LoadReport, fromS: number): number | undefined {
  const after = report.intervals.filter(({ atS, offered }) => atS >= fromS && offered > 0);
  const isRecovered = after.map(({ completed, offered }) => completed >= RECOVERED_SHARE * offered);
  const index = isRecovered.findIndex((recovered, at) => recovered && isRecovered[at + 1] === true);
  const found = after[index];
  return found === undefined ? undefined : found.atS - fromS;
}
