import { scheduleRepeated } from '../../core/clock.js';
import type { Decision, DecisionKind } from '../../schema/decision.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';

/** Maximum rate of log lines for decisions on requests; excess lines are dropped and counted. */
const LINES_PER_SECOND = 400;
/** Number of lines that may be written at once after a time with few. */
const BURST_LINES = 800;
/** Maximum number of lines buffered while the log's reader does not keep up. */
const MAX_WAITING_LINES = 4000;
/** Interval between writes of the waiting lines (ms). */
const FLUSH_INTERVAL_MS = 100;

/** Decision kinds whose number grows with the load or with what others send; all other kinds are exempt from the rate limit. */
const rateLimited: ReadonlySet<DecisionKind> = new Set([
  'requestEnded',
  'requestRefused',
  'attemptFailed',
  'runEnded',
  'runFailed',
  'heartbeatIgnored',
  'faultFound',
]);

/** Writes the log of this node: one line per decision, with bounded rate and memory. */
export function createDecisionController(context: RequestContext): Controller {
  const { board, clock, io } = context;
  const decisions = board.claim('decisions', 'decisionController');
  const { section } = decisions;
  let tokens = BURST_LINES;
  let reportedDropped = 0;
  let isWriting = false;
  const hostText = JSON.stringify(board.read('members').self.host);
  let stopFlushes = (): void => undefined;

  const appendLine = (decision: Decision): void => {
    // Concatenates the fields of a `DecisionLine` as text, which is cheaper than copying the decision.
    const head = `{"timeMs":${clock.wallTime()},"host":${hostText},"line":${section.nextLine++},`;
    section.lines.push(head + JSON.stringify(decision).slice(1));
  };
  const drainLines = (): void => {
    if (section.dropped > reportedDropped) {
      const inputs = { dropped: section.dropped - reportedDropped };
      reportedDropped = section.dropped;
      appendLine({ kind: 'nodeChanged', outcome: 'log lines dropped', inputs });
    }
    if (isWriting || section.lines.length === 0) return;
    isWriting = true;
    io.writeLines(section.lines.splice(0), () => {
      isWriting = false;
    });
  };
  decisions.handlePosts((decision) => {
    const { kind, outcome } = decision;
    if (kind === 'faultFound') section.faults.set(outcome, (section.faults.get(outcome) ?? 0) + 1);
    const isRateLimited = rateLimited.has(decision.kind);
    if ((isRateLimited && tokens < 1) || section.lines.length >= MAX_WAITING_LINES) {
      section.dropped++;
      section.nextLine++;
      return;
    }
    if (isRateLimited) tokens--;
    appendLine(decision);
  });
  return {
    start: () => {
      stopFlushes = scheduleRepeated(clock, FLUSH_INTERVAL_MS, () => {
        tokens = Math.min(BURST_LINES, tokens + (LINES_PER_SECOND * FLUSH_INTERVAL_MS) / 1000);
        drainLines();
      });
    },
    stop: () => {
      stopFlushes();
      drainLines();
    },
  };
}
