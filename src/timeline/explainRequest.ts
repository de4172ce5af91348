import type { DecisionLine } from '../schema/decision.js';

/** What the logs of all processes tell of one request. */
export interface RequestExplanation {
  requestId: string;
  /** The decisions on the request, in order. */
  decisions: DecisionLine[];
  /** What the processes that decided came to believe of what the decisions name, up to `BELIEF_AGE_MS` before, in order. */
  beliefs: DecisionLine[];
  /** The decision that settled the request; undefined where no line of it was written. */
  cause: DecisionLine | undefined;
}

/** Beliefs that changed longer ago did not decide the request (ms). */
const STATE_CHANGE_WINDOW_MS = 8000;
/** Inputs of a decision that name what beliefs are about. */
const subjectInputs = ['host', 'peer', 'target', 'service', 'route'];
/** Decisions that end an attempt or a request with a failure. */
const failureKinds: ReadonlySet<DecisionLine['kind']> = new Set(['runFailed', 'attemptFailed', 'requestRefused']);
/** Beliefs that may decide any request. */
const globalKinds: ReadonlySet<DecisionLine['kind']> = new Set(['configurationApplied', 'nodeChanged']);

/**
 * Explains what became of one request: its decisions, and the beliefs that they rested on. The cause is the first failure
 * at the place that is closest to the target, since what follows is only passed on.
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
  const beliefs = lines.filter((line) => {
    if (line.id !== undefined || line.timeMs < fromMs || line.timeMs > untilMs) return false;
    if (!decidingHosts.has(line.host)) return false;
    return globalKinds.has(line.kind) || listSubjects(line).some((subject) => namedSubjects.has(subject));
  });
  return { requestId, decisions, beliefs: mergeLines(beliefs), cause: findCause(decisions) };
}

/** Merges the lines of all processes by time; those of one host keep their order, also when its time of day jumps. */
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
