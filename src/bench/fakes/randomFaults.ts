import type { Random } from '../../core/random.js';
import type { Frame } from '../../schema/frame.js';
import type { FakeFleet } from './fakeFleet.js';

export interface RandomFaultOptions {
  fleet: FakeFleet;
  random: Random;
  /** Mean time between two faults (ms). */
  periodMs: number;
  /** Clock time after which no new fault starts (ms). */
  untilMs: number;
}

const DROPPED_FRAME_TYPES: readonly Frame['type'][] = ['call', 'answer', 'refusal', 'cancel'];
const MAX_DROPPED_FRAMES = 10;
const MAX_PAUSE_MS = 3000;
const MAX_LINK_CUT_MS = 3000;
const RESTART_DELAY_MS = 2000;

/**
 * Injects random faults into a fleet until `untilMs`: restarts hosts, crashes targets, pauses processes, cuts links and
 * drops frames. Faults may overlap; each ends after a limited time.
 */
export function startRandomFaults({ fleet, random, periodMs, untilMs }: RandomFaultOptions): void {
  const { clock, network } = fleet;
  const chooseItem = <T>(items: readonly T[]): T | undefined => items[Math.floor(random() * items.length)];
  const chooseHost = (): string => chooseItem([...fleet.hosts.keys()]) ?? '';

  const restartHost = (): void => {
    const host = chooseHost();
    const options = fleet.hosts.get(host)?.options;
    if (options === undefined) return;
    fleet.killHost(host);
    clock.schedule(RESTART_DELAY_MS, () => {
      fleet.startHost(options);
    });
  };
  const crashTarget = (): void => {
    const target = fleet.hosts.get(chooseHost())?.target;
    if (target === undefined || target.isDown) return;
    target.crash();
    clock.schedule(RESTART_DELAY_MS, () => {
      target.restart();
    });
  };
  const suspendHost = (): void => {
    const process = fleet.hosts.get(chooseHost())?.process;
    if (process === undefined || process.isPaused) return;
    process.pause();
    clock.schedule(random() * MAX_PAUSE_MS, () => {
      process.resume();
    });
  };
  const disconnectLink = (): void => {
    const dataCenters = [...new Set([...fleet.hosts.values()].map(({ options }) => options.dataCenter))];
    const isBetweenHosts = random() < 0.5;
    const [from, to] = isBetweenHosts
      ? [chooseHost(), chooseHost()]
      : [chooseItem(dataCenters) ?? '', chooseItem(dataCenters) ?? ''];
    if (from === to) return;
    network.cut(from, to, { oneWay: random() < 0.5 });
    clock.schedule(random() * MAX_LINK_CUT_MS, () => {
      network.heal(from, to);
    });
  };
  const dropFrames = (): void => {
    network.dropFrames(chooseItem(DROPPED_FRAME_TYPES) ?? 'answer', 1 + Math.floor(random() * MAX_DROPPED_FRAMES));
  };

  const injectNextFault = (): void => {
    if (clock.now() > untilMs) return;
    chooseItem([restartHost, crashTarget, suspendHost, disconnectLink, dropFrames])?.();
    clock.schedule(periodMs * 2 * random(), injectNextFault);
  };
  clock.schedule(periodMs, injectNextFault);
}
