import type { DecisionLine } from '../schema/decision.js';

/** The logged decisions on one request, from all processes. */
export interface RequestExplanation {
  requestId: string;
  /** The decisions on the request, in order of time. */
  decisions: DecisionLine[];
  /**
   * State changes that may have influenced the decisions, in order of time; the JSON output has this name. They were
   * logged by the same processes, no earlier than `STATE_CHANGE_WINDOW_MS` before the first decision and no later than
   * the last one, and concern the whole node or something that a decision names, such as a host or a target.
   */
  beliefs: DecisionLine[];
  /** The decision that determined the outcome; undefined if the logs contain no decision on the request. */
  cause: DecisionLine | undefined;
}

/** Time before the first decision within which a state change may have influenced the request. */
const STATE_CHANGE_WINDOW_MS = 8000;
/** Inputs of a decision that name the subject of a state change. */
const subjectInputs = ['host', 'peer', 'target', 'service', 'route'];
/** Decisions that end an attempt or a request with a failure. */
const failureKinds: ReadonlySet<DecisionLine['kind']> = new Set(['runFailed', 'attemptFailed', 'requestRefused']);
/** State changes that can influence any request. */
const globalKinds: ReadonlySet<DecisionLine['kind']> = new Set(['configurationApplied', 'nodeChanged']);

/**
 * Explains the outcome of one request: its decisions and the state changes that may have influenced them. The cause is
 * the first failed run, since the other nodes only pass on that failure; without one, it is the first failure or the
 * last decision.
 *
 * @example
 * const { cause } = explainRequest(lines, 'ca45fc141ccc576e');
 */
export function explainRequest(lines: readonly DecisionLine[], requestId: string): RequestExplanation {
  const decisions = mergeLines(lines.filter(({ id }) => id === requestId));
  const decidingHosts = new Set(decisions.map(({ host }) => host));
  const namedSubjects = new Set(decisions.flatMap((line) => [line.host, ...listSubjects(line)]));
  const fromMs = (decisions[0]?.timeMs ?? 0) - STATE_CHANGE_WINDOW_MS;
  const untilMs = decisions.at(-1)?.timeMs ?? 0;
  const stateChanges = lines.filter((line) => {
    if (line.id !== undefined || line.timeMs < fromMs || line.timeMs > untilMs) return false;
    if (!decidingHosts.has(line.host)) return false;
    return globalKinds.has(line.kind) || listSubjects(line).some((subject) => namedSubjects.has(subject));
  });
  return { requestId, decisions, beliefs: mergeLines(stateChanges), cause: findCause(decisions) };
}

/** Merges the lines of all processes by time; the lines of one host keep their order even if its clock jumps. */
function mergeLines(lines: readonly DecisionLine[]): DecisionLine[] {
  const byHost = new Map<string, DecisionLine[]>();
  for (const line of lines) byHost.set(line.host, [...(byHost.get(line.host) ?? []), line]);
  const merged: DecisionLine[] = [];
  while (merged.length < lines.length) {
    const heads = [...byHost.values()].filter((queue) => queue.length > 0);
    const first = heads.reduce((best, other) => ((other[0]?.timeMs ?? 0) < (best[0]?.timeMs ?? 0) ? other : best));
    merged.push(...first.splice(0, 1));
  }
  return merged;
}

function listSubjects({ inputs }: DecisionLine): string[] {
  return subjectInputs
    .map((name) => inputs?.[name])
    .filter((value) => typeof value === 'string' && value !== '') as string[];
}

function findCause(decisions: readonly DecisionLine[]): DecisionLine | undefined {
  const runFailure = decisions.find(({ kind }) => kind === 'runFailed');
  return runFailure ?? decisions.find(({ kind }) => failureKinds.has(kind)) ?? decisions.at(-1);
}
