import { scheduleRepeated } from '../../core/clock.js';
import { closedStopPlan } from '../../policy/stopPlan.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';
import { hasTriedLinks } from './hostHistory.js';

/** Maximum time that a new node waits for its links before it becomes ready (ms). */
const MAX_LINK_WAIT_MS = 600;
/** Interval at which a starting node checks whether it is ready (ms). */
const CHECK_INTERVAL_MS = 20;

/**
 * Writes the phase of this node. It becomes ready with a configuration, the member list and an attempt at each link, and
 * not while a peer is known to have a newer configuration. It waits for the peers for a bounded time.
 */
export function createNodeController({ board, clock }: RequestContext): Controller {
  const node = board.claim('node', 'nodeController');
  const { section } = node;
  let loadedSinceMs: number | undefined;
  let stopChecks = (): void => undefined;

  const enterPhase = (phase: 'ready' | 'stopping'): void => {
    section.phase = phase;
    stopChecks();
    const inputs = {
      configuration: board.read('routes').version,
      members: board.read('members').byHost.size,
      sinceStartMs: Math.round(clock.now() - section.startedAtMs),
    };
    board.post('decisions', { kind: 'nodeChanged', outcome: phase, inputs });
    node.publishChange();
  };
  /** True when the store gave this process an older configuration than a peer has, as after a restore from a copy. */
  const isConfigurationBehind = (): boolean => {
    const { version } = board.read('routes');
    const peers = [...board.read('links').byHost.values()];
    return peers.some(
      ({ lanes, configurationVersion }) => lanes.routine.phase === 'up' && configurationVersion > version,
    );
  };
  const check = (): void => {
    if (board.read('routes').table === undefined || !board.read('members').isComplete) return;
    loadedSinceMs ??= clock.now();
    const isSettled = hasTriedLinks(board) && !isConfigurationBehind();
    if (isSettled || clock.now() - loadedSinceMs > MAX_LINK_WAIT_MS) enterPhase('ready');
  };
  node.handlePosts((post) => {
    if (section.phase === 'stopping') return;
    section.stop = post.plan;
    enterPhase('stopping');
  });
  return {
    start: () => {
      board.post('decisions', { kind: 'nodeChanged', outcome: 'starting' });
      stopChecks = scheduleRepeated(clock, CHECK_INTERVAL_MS, check);
    },
    stop: () => {
      stopChecks();
      // Clients go on using open connections until the process has ended.
      section.stop = closedStopPlan;
    },
  };
}
