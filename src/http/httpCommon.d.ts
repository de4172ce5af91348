/** Node's HTTP parser, which `node:http` uses below its message objects; Node's own types leave it out. */
declare module 'node:_http_common' {
  export const methods: readonly string[];

  export class HTTPParser {
    static readonly REQUEST: number;
    static readonly RESPONSE: number;
    static readonly kOnMessageBegin: number;
    static readonly kOnHeaders: number;
    static readonly kOnHeadersComplete: number;
    static readonly kOnBody: number;
    static readonly kOnMessageComplete: number;
    [callback: number]: unknown;
    initialize(kind: number, resource: object, maxHeaderBytes: number): void;
    /** Parses bytes; returns an error, or how many were taken. */
    execute(chunk: Uint8Array): number | Error;
    /** Tells the end of the connection. */
    finish(): Error | undefined;
    close(): void;
  }
}
