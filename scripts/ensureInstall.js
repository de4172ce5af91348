import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

const installed = 'node_modules/.package-lock.json';
const isCurrent = existsSync(installed) && statSync(installed).mtimeMs >= statSync('package-lock.json').mtimeMs;
if (!isCurrent) {
  const result = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: 'inherit' });
  process.exit(result.status ?? 1);
}
