import { scheduleRepeated } from '../../core/clock.js';
import type { Decision, DecisionKind } from '../../schema/decision.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Lines per second that are written of decisions on requests; more are counted and dropped. */
const LINES_PER_SECOND = 400;
const BURST_LINES = 800;
/** Lines that may wait for a reader that does not read. */
const MAX_WAITING_LINES = 4000;
const FLUSH_MS = 100;

/** Decisions that are many under load; all others are always written. */
const bounded: ReadonlySet<DecisionKind> = new Set([
  'requestEnded',
  'requestRefused',
  'attemptFailed',
  'runEnded',
  'runFailed',
  'heartbeatIgnored',
]);

/** Writes the log of this node: one line per decision, bounded in rate and in memory. */
export function createDecisionController(context: RequestContext): Controller {
  const { board, clock, io } = context;
  const decisions = board.claim('decisions', 'decisionController');
  const { section } = decisions;
  let tokens = BURST_LINES;
  let droppedBefore = 0;
  let isWriting = false;
  const hostText = JSON.stringify(board.read('members').self.host);
  let stopFlushes = (): void => undefined;

  const add = (decision: Decision): void => {
    // Fields of a `DecisionLine`, put together as text, which costs less than copying the decision.
    const head = `{"timeMs":${clock.wallTime()},"host":${hostText},"line":${section.nextLine++},`;
    section.lines.push(head + JSON.stringify(decision).slice(1));
  };
  const drainLines = (): void => {
    if (section.dropped > droppedBefore) {
      const inputs = { dropped: section.dropped - droppedBefore };
      droppedBefore = section.dropped;
      add({ kind: 'nodeChanged', outcome: 'log lines dropped', inputs });
    }
    if (isWriting || section.lines.length === 0) return;
    isWriting = true;
    io.writeLines(section.lines.splice(0), () => {
      isWriting = false;
    });
  };
  decisions.handlePosts((decision) => {
    const isBounded = bounded.has(decision.kind);
    if ((isBounded && tokens < 1) || section.lines.length >= MAX_WAITING_LINES) {
      section.dropped++;
      section.nextLine++;
      return;
    }
    if (isBounded) tokens--;
    add(decision);
  });
  return {
    start: () => {
      stopFlushes = scheduleRepeated(clock, FLUSH_MS, () => {
        tokens = Math.min(BURST_LINES, tokens + (LINES_PER_SECOND * FLUSH_MS) / 1000);
        drainLines();
      });
    },
    stop: () => {
      stopFlushes();
      drainLines();
    },
  };
}
