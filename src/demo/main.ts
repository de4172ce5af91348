import sade from 'sade';
import { runDemo } from './runDemo.js';

sade('start', true)
  .describe('Runs a small sample fleet with a surge, with and without hemlockstack, and prints what both did.')
  .option('--seed', 'Seed of arrivals', 1)
  .option('--keep', 'Leave the fleet running and print its addresses')
  .example('--keep')
  .action(async (options: { seed: number; keep?: boolean }) => {
    await runDemo({ seed: Number(options.seed), isKept: options.keep === true });
    // The stand-in log runs in this process and would keep it alive.
    if (options.keep !== true) process.exit(0);
  })
  .parse(process.argv);
