import { scheduleRepeated } from '../../core/clock.js';
import { createFakeClock } from '../../core/fakeClock.js';
import type { FakeClock } from '../../core/fakeClock.js';
import { createRandom, generateId } from '../../core/random.js';
import type { Random } from '../../core/random.js';
import { createNode } from '../../node/createNode.js';
import type { Node, NodeOptions } from '../../node/createNode.js';
import type { AcceptedDocument } from '../../schema/logRecord.js';
import { parseSettings } from '../../schema/settings.js';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import { createFakeNetwork } from './fakeNetwork.js';
import type { FakeNetwork, FrameObserver } from './fakeNetwork.js';
import { createProcessClock } from './processClock.js';
import type { ProcessClock } from './processClock.js';
import { createFakeTarget } from './fakeTarget.js';
import type { FakeTarget, FakeTargetOptions } from './fakeTarget.js';

export interface FakeHostOptions {
  host: string;
  dataCenter: string;
  region?: string;
  service?: string;
  target?: Omit<FakeTargetOptions, 'clock' | 'random' | 'callDownstream'>;
}

export interface FakeHost {
  readonly options: FakeHostOptions;
  readonly node: Node;
  readonly target: FakeTarget | undefined;
  readonly process: ProcessClock;
}

export interface FakeFleetOptions {
  seed: number;
  hosts: readonly FakeHostOptions[];
  documents: readonly ServiceConfiguration[];
  /** Overrides of the policies and log functions of every node. */
  node?: Partial<Pick<NodeOptions, 'policies' | 'readLog' | 'appendLog'>>;
  localDelayMs?: number;
  remoteDelayMs?: number;
  /** Called before the first host starts, for example to cut links from the beginning. */
  prepareNetwork?: (network: FakeNetwork) => void;
  /** Called for every frame that a host sends. */
  observeFrame?: FrameObserver;
}

export interface FakeFleet {
  readonly clock: FakeClock;
  readonly random: Random;
  readonly network: FakeNetwork;
  readonly hosts: Map<string, FakeHost>;
  /** Starts a host, or restarts it after `killHost`. */
  startHost(options: FakeHostOptions): FakeHost;
  /** Kills the node and the target of a host without a shutdown. */
  killHost(host: string): void;
}

const ANNOUNCE_INTERVAL_MS = 1000;
/** Number of hosts, from the start of the list, that are seeds of all nodes. */
const SEED_HOST_COUNT = 3;

/**
 * Creates a fleet of nodes on a fake clock: real controllers, with a fake network and fake targets.
 *
 * @example
 * const fleet = createFakeFleet({ seed: 1, hosts, documents });
 * fleet.clock.advance(2000);
 */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
  const clock = createFakeClock();
  const random = createRandom(options.seed);
  const { localDelayMs, remoteDelayMs } = options;
  const network = createFakeNetwork({
    clock,
    ...(localDelayMs === undefined ? {} : { localDelayMs }),
    ...(remoteDelayMs === undefined ? {} : { remoteDelayMs }),
    ...(options.observeFrame === undefined ? {} : { observeFrame: options.observeFrame }),
  });
  const hosts = new Map<string, FakeHost>();
  const documents: AcceptedDocument[] = options.documents.map((document, index) => {
    return { service: document.service, version: index + 1, changeId: `c${index}`, operator: 'bench', document };
  });
  const seeds = options.hosts.slice(0, SEED_HOST_COUNT).map(({ host }) => computeAddress(host));

  const startHost = (hostOptions: FakeHostOptions): FakeHost => {
    const process = createProcessClock(clock);
    const hostRandom = createRandom(Math.floor(random() * 2 ** 31));
    const node = createHostNode(hostOptions, process, hostRandom);
    const target =
      hostOptions.target === undefined ? undefined : createHostTarget(hostOptions.target, node, process, hostRandom);
    targets.set(hostOptions.host, target);
    network.attach({
      host: hostOptions.host,
      address: computeAddress(hostOptions.host),
      dataCenter: hostOptions.dataCenter,
      node,
      process,
    });
    node.start();
    node.board.post('configuration', { documents });
    announcePeriodically(hostOptions, node, target, process, hostRandom);
    const started: FakeHost = { options: hostOptions, node, target, process };
    hosts.set(hostOptions.host, started);
    return started;
  };
  const targets = new Map<string, FakeTarget | undefined>();
  const createHostNode = (hostOptions: FakeHostOptions, process: ProcessClock, hostRandom: Random): Node => {
    const { host, dataCenter, region = 'r1' } = hostOptions;
    const listen = { host: '127.0.0.1', port: 0 };
    const settings = parseSettings({
      host,
      dataCenter,
      region,
      callerListen: listen,
      localListen: listen,
      operatorListen: listen,
      peerListen: listen,
      seeds,
      allowPlainText: true,
    });
    const node = createNode({
      ...options.node,
      settings,
      clock: process,
      random: hostRandom,
      sendFrame: network.createSender(host),
      probeTarget: (_address, done) => {
        clock.schedule(0, () => {
          process.runWhenActive(() => {
            done(targets.get(host)?.isDown === false);
          });
        });
      },
      callTarget: (request, done) => targets.get(host)?.callTarget(request, done) ?? ((): void => undefined),
    });
    node.board.post('members', { type: 'updateSelf', change: { peerAddress: computeAddress(host) } });
    return node;
  };
  const createHostTarget = (
    target: NonNullable<FakeHostOptions['target']>,
    node: Node,
    process: ProcessClock,
    hostRandom: Random,
  ): FakeTarget =>
    createFakeTarget({ ...target, clock: process, random: hostRandom, callDownstream: node.handleDownstreamCall });
  const announcePeriodically = (
    hostOptions: FakeHostOptions,
    node: Node,
    target: FakeTarget | undefined,
    process: ProcessClock,
    hostRandom: Random,
  ): void => {
    const { service } = hostOptions;
    if (service === undefined || target === undefined) return;
    const incarnationPrefix = generateId(hostRandom);
    const announce = (): void => {
      if (target.isDown) return;
      const incarnation = `${incarnationPrefix}-${target.startCount}`;
      node.announceTarget({
        service,
        address: 'http://target',
        state: target.isDraining ? 'draining' : 'ready',
        incarnation,
      });
    };
    announce();
    scheduleRepeated(process, ANNOUNCE_INTERVAL_MS, announce);
  };

  options.prepareNetwork?.(network);
  for (const host of options.hosts) startHost(host);
  return {
    clock,
    random,
    network,
    hosts,
    startHost,
    killHost: (host) => {
      hosts.get(host)?.process.kill();
      network.detach(host);
      hosts.delete(host);
    },
  };
}

function computeAddress(host: string): string {
  return `${host}:7000`;
}
