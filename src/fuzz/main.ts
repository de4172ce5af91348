import sade from 'sade';
import { runCallSuite, runLoadSuite } from './callSuite.js';
import type { FuzzOptions, FuzzReport } from './callSuite.js';
import { runControlSuite } from './controlSuite.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const suites: Record<string, (options: FuzzOptions) => FuzzReport> = {
  calls: runCallSuite,
  load: runLoadSuite,
  control: runControlSuite,
};

interface FuzzArguments {
  seed: number;
  runs: number;
  suite: string;
  path?: string;
}

function runFuzz({ seed, runs, suite, path }: FuzzArguments): void {
  const run = suites[suite];
  if (run === undefined) {
    console.error(`unknown suite ${suite}; known suites: ${Object.keys(suites).join(', ')}`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const startedAtMs = performance.now();
  const report = run({ seed, runs, ...(path === undefined ? {} : { path: String(path) }) });
  const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(1);
  console.log(report.failure ?? `${suite}: ${report.runs} runs passed (seed ${seed}, ${seconds} s)`);
  process.exitCode = report.failure === undefined ? 0 : EXIT_FAILED;
}

sade('fuzz', true)
  .describe('Checks the invariants of docs/design.md on random sequences of calls and faults.')
  .option('--seed', 'Seed of all random choices', 1)
  .option('--runs', 'Number of runs', 100)
  .option(
    '--suite',
    'calls (I1, I3 to I7), load (I2: shed order) or control (I8: publishing of configuration)',
    'calls',
  )
  .option('--path', 'Path of a failing run, as printed in its report; replays only that run')
  .example('--seed 7 --runs 1000')
  .action(runFuzz)
  .parse(process.argv);
