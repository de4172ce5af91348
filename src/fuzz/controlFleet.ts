import { createFakeNetwork } from '../bench/fakes/fakeNetwork.js';
import type { FakeNetwork } from '../bench/fakes/fakeNetwork.js';
import { createProcessClock } from '../bench/fakes/processClock.js';
import type { ProcessClock } from '../bench/fakes/processClock.js';
import { createFakeClock } from '../core/fakeClock.js';
import type { FakeClock } from '../core/fakeClock.js';
import { createRandom } from '../core/random.js';
import { createNode } from '../node/createNode.js';
import type { Node } from '../node/createNode.js';
import { parseSettings } from '../schema/settings.js';
import { createLogStore } from '../standins/logStore.js';
import { createControlLog } from './controlLog.js';
import type { ControlLog } from './controlLog.js';

export interface ControlHost {
  readonly host: string;
  readonly dataCenter: string;
  readonly node: Node;
  readonly process: ProcessClock;
  /** Sequence number of this start among the starts of all hosts. */
  readonly startNumber: number;
}

/** Nodes with the real controllers and a fake log, but without targets, for tests of the configuration. */
export interface ControlFleet {
  readonly clock: FakeClock;
  readonly log: ControlLog;
  readonly network: FakeNetwork;
  readonly hosts: Map<string, ControlHost>;
  startHost(host: string): ControlHost;
  killHost(host: string): void;
  pauseHost(host: string): void;
  resumeHost(host: string): void;
  /** Returns the version of a service's document that is in force at a host, or 0 if there is none. */
  getVersion(host: string, service: string): number;
}

export interface ControlFleetOptions {
  seed: number;
  dataCenters: readonly string[];
  hostsPerDataCenter: number;
  retentionMs?: number;
  /** Hosts to start immediately; all by default. */
  started?: readonly string[];
}

const SEED_HOST_COUNT = 3;

/**
 * Creates the fleet. Hosts are named `d1-0`, `d1-1`, `d2-0` and so on.
 *
 * @example
 * const fleet = createControlFleet({ seed: 1, dataCenters: ['d1', 'd2'], hostsPerDataCenter: 3 });
 * fleet.log.append(change);
 * fleet.clock.advance(5000);
 */
export function createControlFleet(options: ControlFleetOptions): ControlFleet {
  const { retentionMs = 3_600_000 } = options;
  const clock = createFakeClock();
  const random = createRandom(options.seed);
  const network = createFakeNetwork({ clock });
  const log = createControlLog(clock, createLogStore(clock, { retentionMs }));
  const hosts = new Map<string, ControlHost>();
  const names = options.dataCenters.flatMap((dataCenter) =>
    Array.from({ length: options.hostsPerDataCenter }, (_, index) => `${dataCenter}-${index}`),
  );
  let starts = 0;

  const startHost = (host: string): ControlHost => {
    const dataCenter = host.slice(0, host.lastIndexOf('-'));
    const process = createProcessClock(clock);
    const listen = { host: '127.0.0.1', port: 0 };
    const settings = parseSettings({
      host,
      dataCenter,
      region: 'r1',
      callerListen: listen,
      localListen: listen,
      operatorListen: listen,
      peerListen: listen,
      allowPlainText: true,
      logRetentionMs: retentionMs,
      seeds: names
        .filter((name) => name !== host && name.endsWith('-0'))
        .slice(0, SEED_HOST_COUNT)
        .map(computeAddress),
    });
    const node = createNode({
      settings,
      clock: process,
      random: createRandom(Math.floor(random() * 2 ** 31)),
      sendFrame: network.createSender(host),
      callTarget: () => () => undefined,
      ...log.createLogFunctions(host, dataCenter, process),
    });
    network.attach({ host, address: computeAddress(host), dataCenter, node, process });
    const controlHost: ControlHost = { host, dataCenter, node, process, startNumber: ++starts };
    hosts.set(host, controlHost);
    node.board.post('members', { type: 'updateSelf', change: { peerAddress: computeAddress(host) } });
    node.start();
    return controlHost;
  };
  for (const host of options.started ?? names) startHost(host);
  return {
    clock,
    log,
    network,
    hosts,
    startHost,
    killHost: (host) => {
      const controlHost = hosts.get(host);
      if (controlHost === undefined) return;
      controlHost.process.kill();
      network.detach(host);
      hosts.delete(host);
    },
    pauseHost: (host) => {
      const controlHost = hosts.get(host);
      if (controlHost === undefined || controlHost.process.isPaused) return;
      controlHost.process.pause();
    },
    resumeHost: (host) => {
      const controlHost = hosts.get(host);
      if (controlHost?.process.isPaused !== true) return;
      controlHost.process.resume();
    },
    getVersion: (host, service) =>
      hosts.get(host)?.node.board.read('configuration').services.get(service)?.version ?? 0,
  };
}

function computeAddress(host: string): string {
  return `${host}:7000`;
}
