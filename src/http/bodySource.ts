import { Readable } from 'node:stream';

/** The body of a request as it is written to a target. */
export interface BodySource {
  /** What the HTTP client sends; a stream can be read once. */
  read(): Buffer | Readable | null;
  /** Adds a part of a streamed body. */
  add(data: Uint8Array, isLast: boolean): void;
  /** Ends the body when nobody reads it any more. */
  stop(): void;
}

/**
 * Creates the body of a request.
 *
 * @param grant Lets the sender of a streamed body go on by so many bytes.
 */
export function createBodySource(
  body: Uint8Array | undefined,
  isStreamed: boolean,
  grant: (bytes: number) => void,
): BodySource {
  if (!isStreamed) {
    const whole = body === undefined ? null : Buffer.from(body.buffer, body.byteOffset, body.byteLength);
    return { read: () => whole, add: () => undefined, stop: () => undefined };
  }
  let taken = 0;
  const stream = new Readable({
    read: () => {
      if (taken === 0) return;
      grant(taken);
      taken = 0;
    },
  });
  stream.on('error', () => undefined);
  return {
    read: () => stream,
    add: (data, isLast) => {
      if (stream.destroyed) return;
      taken += data.length;
      const wantsMore = data.length === 0 || stream.push(data);
      if (isLast) stream.push(null);
      else if (wantsMore && taken > 0) {
        grant(taken);
        taken = 0;
      }
    },
    stop: () => {
      stream.destroy();
    },
  };
}
