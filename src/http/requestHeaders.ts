/** Names of the headers that the node itself reads or sets, in lowerName case. */
export interface RequestHeaderNames {
  /** Id of one client attempt; echoed by targets. */
  requestId: string;
  /** How long the sender will wait (ms). */
  timeLeft: string;
  /** Service of the host where the request began; set by the node. */
  callerService: string;
  /** Id of the target that is meant; any other one refuses. */
  targetId: string;
  /** Signature of the target on its answer. */
  signature: string;
  /** Load of the target on its answers. */
  load: string;
  /** Present on answers to requests that the target did not run. */
  notRun: string;
}

/** Headers that concern one connection only. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Selects the headers that travel on: not those of one connection, nor the dropped ones.
 *
 * @param rawHeaders Names and values in turn.
 * @example
 * const headers = selectEndToEnd(request.rawHeaders, new Set(['x-load']));
 */
export function selectEndToEndHeaders(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
  const connectionOptions = listConnectionOptions(rawHeaders);
  const selected: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerName = name.toLowerCase();
    if (hopByHopHeaders.has(lowerName) || dropped.has(lowerName) || connectionOptions?.has(lowerName) === true)
      continue;
    selected.push(name, rawHeaders[index + 1] ?? '');
  }
  return selected;
}

/** Returns the value of a header; `name` is in lowerName case. */
export function findHeader(rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const candidate = rawHeaders[index] ?? '';
    if (candidate.length === name.length && candidate.toLowerCase() === name) return rawHeaders[index + 1];
  }
  return undefined;
}

/** True for the lowerName-case name of a header that concerns one connection only. */
export function isHopByHop(name: string): boolean {
  return hopByHopHeaders.has(name);
}

/** Headers that the `Connection` header names as belonging to this connection. */
export function listConnectionOptions(rawHeaders: readonly string[]): Set<string> | undefined {
  const value = findHeader(rawHeaders, 'connection');
  if (value === undefined || value === 'keep-alive' || value === 'close') return undefined;
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()));
}
