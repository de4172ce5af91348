import type { RequestContext } from './context.js';
import type { Run } from './run.js';
import type { RequestSections } from './sections.js';

/** Reports how a request ended at the node of its target, with what decided it. */
export function reportRunEnd(
  { board, clock }: RequestContext,
  options: { run: Run; section: RequestSections['runs']; outcome: string; detail: string },
): void {
  const { run, section, outcome, detail } = options;
  const nowMs = clock.now();
  const { requestId, service, route, organisation } = run.request;
  const { id: target, phase } = board.read('target');
  const inputs = {
    service,
    route,
    ...(organisation === undefined ? {} : { organisation }),
    target,
    targetPhase: phase,
    waitedMs: Math.round((run.startedAtMs || nowMs) - run.arrivedAtMs),
    ranMs: run.startedAtMs === 0 ? 0 : Math.round(nowMs - run.startedAtMs),
    running: section.running.size,
    queued: section.queue.length,
    detail,
  };
  board.post('decisions', {
    kind: outcome === 'answered' ? 'runEnded' : 'runFailed',
    id: requestId,
    outcome,
    inputs,
  });
}
