import { readFileSync } from 'node:fs';
import { Value } from '@sinclair/typebox/value';
import { compileSchema, formatFault } from '../schema/validate.js';
import { startTarget } from './target.js';
import { targetSettingsSchema } from './targetSettings.js';

const EXIT_INVALID = 2;
const validator = compileSchema(targetSettingsSchema);

async function runMain(path: string): Promise<void> {
  const settings = Value.Default(targetSettingsSchema, JSON.parse(readFileSync(path, 'utf8')));
  if (!validator.isValid(settings)) {
    for (const fault of validator.listFaults(settings)) process.stderr.write(`${formatFault(fault)}\n`);
    process.exitCode = EXIT_INVALID;
    return;
  }
  const target = await startTarget(settings);
  process.stdout.write(`${JSON.stringify({ listening: { target: target.address } })}\n`);
  process.once('SIGUSR2', () => {
    void target.drain();
  });
  process.once('SIGTERM', () => {
    void target.stop().then(() => process.exit(0));
  });
}

await runMain(process.argv[2] ?? '');
