/** Parses the body of an HTTP request as JSON; returns undefined if it is not valid JSON. */
export function parseJsonBody(body: unknown): unknown {
  if (!(body instanceof Uint8Array)) return undefined;
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
}
