import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Settings } from '../schema/settings.js';
import { startProcess } from './processes.js';
import type { StartedProcess } from './processes.js';
import type { TargetSettings } from './targetSettings.js';

/** A host of a fleet: a node and, if given, its target. */
export interface FleetHostOptions {
  host: string;
  dataCenter: string;
  region?: string;
  target?: Partial<TargetSettings> & Pick<TargetSettings, 'service' | 'operations'>;
  settings?: Partial<Settings>;
}

export interface FleetHost {
  readonly host: string;
  readonly node: StartedProcess;
  readonly target: StartedProcess | undefined;
}

export interface Fleet {
  readonly hosts: Map<string, FleetHost>;
  /** Starts an additional host, or restarts a stopped one under the same name. */
  startHost(options: FleetHostOptions): Promise<FleetHost>;
  /** Stops all processes of the fleet: first the targets, then the nodes. */
  stop(): Promise<void>;
}

const MAX_SEEDS = 3;
const daemonScript = fileURLToPath(new URL('../daemon/main.js', import.meta.url));
const targetScript = fileURLToPath(new URL('targetMain.js', import.meta.url));

/**
 * Starts a fleet of real processes on free loopback ports. The first started hosts are the seeds
 * of the later ones.
 *
 * @example
 * const fleet = await startFleet(hosts, { logUrl: log.url });
 * await fleet.stop();
 */
export async function startFleet(
  hosts: readonly FleetHostOptions[],
  options: { logUrl?: string; nodeOptions?: readonly string[] } = {},
): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), 'hemlock-fleet-'));
  const started = new Map<string, FleetHost>();

  const writeFile = (name: string, value: unknown): string => {
    const path = join(folder, `${name}.json`);
    writeFileSync(path, JSON.stringify(value));
    return path;
  };
  const listSeeds = (): string[] =>
    [...started.values()].slice(0, MAX_SEEDS).map(({ node }) => node.addresses['peer'] ?? '');

  const startHost = async (host: FleetHostOptions): Promise<FleetHost> => {
    const listen = { host: '127.0.0.1', port: 0 };
    const settings = {
      host: host.host,
      dataCenter: host.dataCenter,
      region: host.region ?? 'r1',
      callerListen: listen,
      localListen: listen,
      operatorListen: listen,
      peerListen: listen,
      seeds: listSeeds(),
      ...(options.logUrl === undefined ? {} : { logUrl: options.logUrl }),
      ...host.settings,
    };
    const file = writeFile(`node-${host.host}`, settings);
    const nodeOptions = options.nodeOptions ?? [];
    const node = await startProcess(`node ${host.host}`, daemonScript, ['--settings', file], { nodeOptions });
    const target = host.target === undefined ? undefined : await startTargetProcess(host, node);
    const startedHost: FleetHost = { host: host.host, node, target };
    started.set(host.host, startedHost);
    return startedHost;
  };
  const startTargetProcess = (host: FleetHostOptions, node: StartedProcess): Promise<StartedProcess> => {
    const settings = { host: host.host, node: `http://${node.addresses['local'] ?? ''}`, ...host.target };
    return startProcess(`target ${host.host}`, targetScript, [writeFile(`target-${host.host}`, settings)]);
  };

  // The first host starts alone, so that the others have a seed.
  const [first, ...others] = hosts;
  if (first !== undefined) await startHost(first);
  await Promise.all(others.map(startHost));
  return {
    hosts: started,
    startHost,
    stop: async () => {
      const entries = [...started.values()];
      await Promise.all(entries.map(({ target }) => target?.stop()));
      await Promise.all(entries.map(({ node }) => node.stop()));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
