import sade from 'sade';
import { runDemo } from './runDemo.js';

sade('start', true)
  .describe('Runs a load surge against a small sample fleet, with and without hemlockstack, and compares the results.')
  .option('--seed', 'Seed of the random arrival times', 1)
  .option('--keep', 'Skip the run without hemlockstack; leave the fleet running and print its addresses')
  .example('--keep')
  .action(async (options: { seed: number; keep?: boolean }) => {
    await runDemo({ seed: Number(options.seed), keepRunning: options.keep === true });
    // The stand-in log server runs in this process and would keep it alive.
    if (options.keep !== true) process.exit(0);
  })
  .parse(process.argv);
