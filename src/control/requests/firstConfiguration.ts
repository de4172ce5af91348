import { scheduleRepeated } from '../../core/clock.js';
import type { RequestContext } from './context.js';
import { hasTriedLinks, RESTORE_WAIT_MS } from './hostHistory.js';
import type { RequestPosts } from './sections.js';

type ConfigurationPost = RequestPosts['routes'];

/** Interval at which the conditions are checked while a configuration is held back (ms). */
const CHECK_INTERVAL_MS = 10;

/** The configurations that a new process receives before one is in force. */
export interface FirstConfiguration {
  add(post: ConfigurationPost): void;
  stop(): void;
}

/**
 * Holds back the first configuration with organisations until the linked peers have said which version they have, or for 800 ms
 * at most. A restarted process has forgotten the version by which it went, and an older one, as from a store that is behind,
 * would accept keys that were withdrawn. Other configurations are applied at once.
 */
export function createFirstConfiguration(
  { board, clock }: RequestContext,
  apply: (post: ConfigurationPost) => void,
): FirstConfiguration {
  let held: ConfigurationPost | undefined;
  let stopChecks = (): void => undefined;

  const isNewest = (version: number): boolean => {
    if (!board.read('members').isComplete || !hasTriedLinks(board)) return false;
    for (const { lanes, membersDigest, configurationVersion } of board.read('links').byHost.values()) {
      if (lanes.routine.phase !== 'up') continue;
      // The digest comes with the first status of a peer.
      if (membersDigest === undefined || configurationVersion > version) return false;
    }
    return true;
  };
  const check = (): void => {
    if (held === undefined) return;
    const isLate = clock.now() - board.read('node').startedAtMs > RESTORE_WAIT_MS;
    if (!isLate && !isNewest(held.configuration.version)) return;
    stopChecks();
    const post = held;
    held = undefined;
    apply(post);
  };
  return {
    add: (post) => {
      if (held !== undefined && post.configuration.version <= held.configuration.version) return;
      if (post.configuration.organisations === undefined) {
        stopChecks();
        held = undefined;
        apply(post);
        return;
      }
      if (held === undefined) stopChecks = scheduleRepeated(clock, CHECK_INTERVAL_MS, check);
      held = post;
      check();
    },
    stop: () => {
      stopChecks();
    },
  };
}
