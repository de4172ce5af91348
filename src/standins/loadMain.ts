import { readFileSync, writeFileSync } from 'node:fs';
import { Value } from '@sinclair/typebox/value';
import sade from 'sade';
import { compileSchema, formatFault } from '../schema/validate.js';
import { runLoad } from './load.js';
import { loadSettingsSchema } from './loadSettings.js';

const EXIT_INVALID = 2;
const validator = compileSchema(loadSettingsSchema);

interface LoadOptions {
  json?: string;
  hard?: boolean;
  seed?: number;
}

async function runMain(file: string, options: LoadOptions): Promise<void> {
  const fileSettings = JSON.parse(readFileSync(file, 'utf8')) as object;
  const overrides = {
    ...(options.hard === true ? { isRetryingHard: true } : {}),
    ...(options.seed === undefined ? {} : { seed: options.seed }),
  };
  const settings = Value.Default(loadSettingsSchema, { ...fileSettings, ...overrides });
  if (!validator.isValid(settings)) {
    for (const fault of validator.listFaults(settings)) process.stderr.write(`${formatFault(fault)}\n`);
    process.exitCode = EXIT_INVALID;
    return;
  }
  const report = await runLoad(settings, {
    printProgress: ({ elapsedS, offered, open }) => {
      process.stderr.write(`\r${elapsedS.toFixed(0)} of ${settings.durationS} s, ${offered} offered, ${open} open   `);
    },
  });
  process.stderr.write('\n');
  const text = `${JSON.stringify(report, null, 2)}\n`;
  if (options.json === undefined) process.stdout.write(text);
  else writeFileSync(options.json, text);
}

sade('load <settings>', true)
  .describe('Sends load to nodes, or directly to targets, and reports the outcomes.')
  .option('--json', 'File for the report; standard output by default')
  .option(
    '--hard',
    'Retry immediately after every failure, even one that forbids a retry, with a new deadline each time',
  )
  .option('--seed', 'Seed of the arrival times and the operation mix')
  .example('load.json --json report.json')
  .action(runMain)
  .parse(process.argv);
