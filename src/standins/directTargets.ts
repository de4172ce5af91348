import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { FleetHostOptions } from './fleet.js';
import { startProcess } from './processes.js';
import type { StartedProcess } from './processes.js';

/** Targets that call each other without hemlockstack. */
export interface DirectTargets {
  /** Addresses of the targets of each service. */
  readonly addresses: Record<string, string[]>;
  stop(): Promise<void>;
}

const targetScript = fileURLToPath(new URL('targetMain.js', import.meta.url));

/**
 * Starts the targets of a fleet without nodes. Each calls the targets of the next service in round-robin order.
 *
 * @param services - Services in call order, the entry service first.
 * @example
 * const targets = await startDirectTargets(hosts, ['order-intake', 'depot-stock']);
 */
export async function startDirectTargets(
  hosts: readonly FleetHostOptions[],
  services: readonly string[],
): Promise<DirectTargets> {
  const folder = mkdtempSync(join(tmpdir(), 'hemlock-direct-'));
  const addresses: Record<string, string[]> = {};
  const started: StartedProcess[] = [];
  // A target receives the addresses of the next service at its start, so the last service is started first.
  for (const service of [...services].reverse()) {
    const serviceHosts = hosts.filter(({ target }) => target?.service === service);
    const processes = await Promise.all(
      serviceHosts.map(({ host, target }) => {
        const file = join(folder, `${host}.json`);
        writeFileSync(file, JSON.stringify({ host, ...target, direct: addresses }));
        return startProcess(`target ${host}`, targetScript, [file]);
      }),
    );
    started.push(...processes);
    addresses[service] = processes.map((process) => process.addresses['target'] ?? '');
  }
  return {
    addresses,
    stop: async () => {
      await Promise.all(started.map((process) => process.stop()));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
