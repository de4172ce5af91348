import { estimateSpeeds } from '../../policy/targetSpeed.js';
import type { TargetDurations } from '../../policy/targetSpeed.js';
import type { Profile } from '../../schema/linkFrame.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Writes the expected run durations at the targets of each service, from the durations that their nodes report. */
export function createSpeedController({ board }: RequestContext): Controller {
  const { section } = board.claim('speeds', 'speedController');
  let stopUpdates = (): void => undefined;

  const updateSpeeds = (): void => {
    const byService = new Map<string, TargetDurations[]>();
    const addTarget = (service: string, host: string, profile: Profile): void => {
      const targets = byService.get(service) ?? [];
      targets.push({ host, durations: profile.durations });
      byService.set(service, targets);
    };
    const { self } = board.read('members');
    addTarget(board.read('target').service, self.host, board.read('demand').profile as Profile);
    for (const { host, load, profile } of board.read('links').byHost.values())
      addTarget(load.service, host, profile as Profile);
    section.byService = new Map([...byService].map(([service, targets]) => [service, estimateSpeeds(targets)]));
  };
  return {
    start: () => {
      stopUpdates = board.subscribe('demand', updateSpeeds);
    },
    stop: () => {
      stopUpdates();
    },
  };
}
