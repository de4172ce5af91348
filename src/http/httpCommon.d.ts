/** Node's internal HTTP parser, on which `node:http` is built; `@types/node` does not declare it. */
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
    /** Flags with which the parser accepts what the protocol does not allow. */
    static readonly kLenientAll: number;
    [callback: number]: unknown;
    initialize(kind: number, resource: object, maxHeaderBytes: number, lenientFlags?: number, ...rest: unknown[]): void;
    /** Parses a chunk; returns the number of bytes consumed, or an error. */
    execute(chunk: Uint8Array): number | Error;
    /** Signals the end of the connection; returns an error if a message is incomplete. */
    finish(): Error | undefined;
    close(): void;
  }
}
