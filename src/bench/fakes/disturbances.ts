import type { Random } from '../../core/random.js';
import type { Frame } from '../../schema/frame.js';
import type { FakeFleet } from './fakeFleet.js';

export interface DisturbanceOptions {
  fleet: FakeFleet;
  random: Random;
  /** Mean time between two disturbances (ms). */
  periodMs: number;
  /** No disturbance begins after this time of the clock (ms). */
  untilMs: number;
}

const LOST_FRAMES: readonly Frame['type'][] = ['call', 'answer', 'refusal', 'cancel'];
const MAX_LOST = 10;
const MAX_PAUSE_MS = 3000;
const MAX_CUT_MS = 3000;
const RESTART_AFTER_MS = 2000;

/** Kills, pauses and cuts off random hosts of a fleet and loses frames, several at a time, and heals each again. */
export function startDisturbances({ fleet, random, periodMs, untilMs }: DisturbanceOptions): void {
  const { clock, network } = fleet;
  const chooseItem = <T>(items: readonly T[]): T | undefined => items[Math.floor(random() * items.length)];
  const chooseHost = (): string => chooseItem([...fleet.hosts.keys()]) ?? '';

  const restartHost = (): void => {
    const host = chooseHost();
    const options = fleet.hosts.get(host)?.options;
    if (options === undefined) return;
    fleet.killHost(host);
    clock.schedule(RESTART_AFTER_MS, () => {
      fleet.startHost(options);
    });
  };
  const crashTarget = (): void => {
    const target = fleet.hosts.get(chooseHost())?.target;
    if (target === undefined || target.isDown) return;
    target.crash();
    clock.schedule(RESTART_AFTER_MS, () => {
      target.restart();
    });
  };
  const stopHost = (): void => {
    const process = fleet.hosts.get(chooseHost())?.process;
    if (process === undefined || process.isPaused) return;
    process.pause();
    clock.schedule(random() * MAX_PAUSE_MS, () => {
      process.resume();
    });
  };
  const closeLink = (): void => {
    const dataCenters = [...new Set([...fleet.hosts.values()].map(({ options }) => options.dataCenter))];
    const areHosts = random() < 0.5;
    const [from, to] = areHosts
      ? [chooseHost(), chooseHost()]
      : [chooseItem(dataCenters) ?? '', chooseItem(dataCenters) ?? ''];
    if (from === to) return;
    network.cut(from, to, { oneWay: random() < 0.5 });
    clock.schedule(random() * MAX_CUT_MS, () => {
      network.heal(from, to);
    });
  };
  const dropFrames = (): void => {
    network.loseFrames(chooseItem(LOST_FRAMES) ?? 'answer', 1 + Math.floor(random() * MAX_LOST));
  };

  const runNext = (): void => {
    if (clock.now() > untilMs) return;
    chooseItem([restartHost, crashTarget, stopHost, closeLink, dropFrames])?.();
    clock.schedule(periodMs * 2 * random(), runNext);
  };
  clock.schedule(periodMs, runNext);
}
