import sade from 'sade';
import { runControlSuite } from './controlSuite.js';

const EXIT_FAILED = 1;

interface ControlOptions {
  seed: number;
  runs: number;
  path?: string;
}

sade('fuzz-control', true)
  .describe('Runs the fuzz suite of the configuration (I8).')
  .option('--seed', 'Seed of all random choices', 1)
  .option('--runs', 'Number of cases', 100)
  .option('--path', 'Path of one case in an earlier report, to run it again')
  .example('--seed 7 --runs 1000')
  .action(({ seed, runs, path }: ControlOptions) => {
    const report = runControlSuite({ seed, runs, ...(path === undefined ? {} : { path: String(path) }) });
    console.log(report.failure ?? `control: ${report.runs} cases hold (seed ${seed})`);
    process.exitCode = report.failure === undefined ? 0 : EXIT_FAILED;
  })
  .parse(process.argv);
