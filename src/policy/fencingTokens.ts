/** First step by which tokens advance after a refusal (ms); it doubles with each further one. */
const FIRST_STEP_MS = 1000;
/** Longest step (ms), which exceeds any error of a clock. */
const MAX_STEP_MS = 2 ** 40;

/**
 * Numbers that order the writes of one record, also those of successive processes: the store refuses a write whose token is
 * lower than one it has accepted, so that a write without a response cannot replace a later one.
 */
export interface FencingTokens {
  /** The last token that was used; 0 if there was none. */
  last: number;
  /** Step to the next token after a refusal (ms). */
  stepMs: number;
}

/** Creates the tokens of a process that has not written yet. */
export function createFencingTokens(): FencingTokens {
  return { last: 0, stepMs: FIRST_STEP_MS };
}

/**
 * Takes the token of the next write: the start of the process (Unix ms), so that those of a later process are higher, or one
 * more than the last token.
 *
 * @example
 * const token = takeFencingToken(tokens, self.startedAtMs);
 */
export function takeFencingToken(tokens: FencingTokens, startedAtMs: number): number {
  tokens.last = Math.max(tokens.last + 1, startedAtMs);
  return tokens.last;
}

/** Notes that a write was accepted. */
export function recordAcceptedToken(tokens: FencingTokens): void {
  tokens.stepMs = FIRST_STEP_MS;
}

/**
 * Advances the tokens after a write was refused for its token. An earlier process of the host may have used higher ones, since
 * the wall clock was set back; the store does not tell how high they are.
 */
export function advanceFencingTokens(tokens: FencingTokens): void {
  tokens.last += tokens.stepMs;
  tokens.stepMs = Math.min(2 * tokens.stepMs, MAX_STEP_MS);
}
