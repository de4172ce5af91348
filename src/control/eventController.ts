import type { Controller, ControllerContext } from './context.js';

/** Records the events of this process in a ring buffer. */
export function createEventController(context: ControllerContext): Controller {
  const events = context.board.claim('events', 'eventController');
  events.handlePosts((post) => {
    events.section.ring.add({ time: context.hybridClock.getNext(), host: context.settings.host, ...post });
  });
  return {
    start: () => {
      context.board.post('events', { kind: 'nodeStarted' });
    },
    stop: () => undefined,
  };
}
