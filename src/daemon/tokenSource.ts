import { randomFillSync } from 'node:crypto';

const TOKEN_BYTES = 18;
/**
 * Fetching random bytes from the system takes as long as creating hundreds of tokens from a buffer, so the bytes for
 * many tokens are fetched at once.
 */
const TOKENS_PER_FILL = 512;

/**
 * Creates a generator of unguessable tokens with 144 random bits each.
 *
 * @example
 * const generateToken = createTokenSource();
 * generateToken(); // 24 characters
 */
export function createTokenSource(): () => string {
  const pool = Buffer.alloc(TOKEN_BYTES * TOKENS_PER_FILL);
  let used = pool.length;
  return () => {
    if (used === pool.length) {
      randomFillSync(pool);
      used = 0;
    }
    const token = pool.toString('base64url', used, used + TOKEN_BYTES);
    used += TOKEN_BYTES;
    return token;
  };
}
