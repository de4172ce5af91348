import { scheduleRepeated } from '../core/clock.js';
import { splitCapacity } from '../policy/shedding.js';
import type { FractionState } from '../schema/state.js';
import type { Controller, ControllerContext } from './context.js';

const ADJUST_PERIOD_MS = 100;
/** Time after which a downstream fraction that nothing confirms is raised. */
const DOWNSTREAM_DECAY_MS = 1000;
const RAISE_FACTOR = 1.1;

/** Writes the admitted fractions: of the local target from its demand, of called operations from replies. */
export function createSheddingController(context: ControllerContext): Controller {
  const { board, clock, policies } = context;
  const shedding = board.claim('shedding', 'sheddingController');
  const samples = board.read('samples').ring;
  const { local, downstream } = shedding.section;
  let cursor = samples.end;
  let stopTimer = (): void => undefined;

  shedding.handlePosts((post) => {
    if (post.type === 'arrival') {
      const state = local.get(post.priority);
      if (state === undefined) local.set(post.priority, { fraction: 1, arrivals: 1, worth: post.worth });
      else state.arrivals++;
      return;
    }
    downstream.set(post.key, { fraction: post.fraction, heardAtMs: clock.now() });
  });

  const adjustLocal = (): void => {
    const finished = samples.listFrom(cursor).filter((sample) => sample.role === 'run' && sample.result === 'answered');
    cursor = samples.end;
    const isOverloaded = board.read('queue').waiting.length > board.read('limits').concurrency;
    const states = [...local.values()];
    const allotted = isOverloaded
      ? splitCapacity(
          finished.length,
          states.map((state) => ({ state, guaranteedShare: getShare(state) })),
        )
      : states.map((state) => state.arrivals);
    for (const [index, state] of states.entries()) {
      state.fraction = policies.adjustFraction(state.fraction, state.arrivals, allotted[index] ?? 0);
      state.arrivals = 0;
    }
  };
  const getShare = (wanted: FractionState): number => {
    const service = board.read('target').announcement?.service;
    const priorities =
      service === undefined ? [] : (board.read('configuration').services.get(service)?.document.priorities ?? []);
    return priorities.find((priority) => priority.worth === wanted.worth)?.guaranteedShare ?? 0;
  };
  const decayDownstream = (): void => {
    const heardBefore = clock.now() - DOWNSTREAM_DECAY_MS;
    for (const [key, entry] of downstream) {
      if (entry.heardAtMs > heardBefore) continue;
      entry.fraction = Math.min(1, entry.fraction * RAISE_FACTOR);
      if (entry.fraction >= 1) downstream.delete(key);
    }
  };
  return {
    start: () => {
      stopTimer = scheduleRepeated(clock, ADJUST_PERIOD_MS, () => {
        adjustLocal();
        decayDownstream();
      });
    },
    stop: () => {
      stopTimer();
    },
  };
}
