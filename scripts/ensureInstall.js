// Runs `npm ci` if package-lock.json has changed since the last install.
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';

// Checkouts change modification times, so the lock file is compared by its hash.
const marker = 'node_modules/.hemlock-lock-hash';
const hash = createHash('sha256').update(readFileSync('package-lock.json')).digest('hex');
if (!existsSync(marker) || readFileSync(marker, 'utf8') !== hash) {
  const result = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: 'inherit' });
  if (result.status !== 0) process.exit(result.status ?? 1);
  writeFileSync(marker, hash);
}
