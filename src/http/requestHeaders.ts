/** Lower-case names of the headers that a node reads or sets itself. */
export interface RequestHeaderNames {
  /** Id that the client gives to one attempt of a request; targets echo it in their responses. */
  requestId: string;
  /** Time for which the sender waits for the response (ms). */
  timeLeft: string;
  /** Service of the host where the request entered; set by the node. */
  callerService: string;
  /** Name of the organisation that sent the request; set by the node. */
  organisation: string;
  /** Id of the target that the request is for; any other target refuses it. */
  targetId: string;
  /** The target's signature on its response. */
  signature: string;
  /** Load of the target, reported with its responses; removed by the node. */
  load: string;
  /** Present on responses to requests that the target did not run. */
  notRun: string;
  /** Requests per second that the target takes from all nodes together, while it says so. */
  rateLimit: string;
  /** `1` in the responses of a target that leaves. */
  leaving: string;
}

const BEYOND_LATIN_1 = /[\u0100-\uffff]/;
const CONTROL_CHARACTERS = /\p{Cc}/gu;

/** Headers that apply to a single connection and are not forwarded. */
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
  // The node responds to `Expect: 100-continue` itself.
  'expect',
]);

/**
 * Selects the headers to forward: all except the hop-by-hop headers and those in `dropped`.
 *
 * @param rawHeaders Alternating names and values.
 * @example
 * const headers = selectEndToEndHeaders(request.rawHeaders, new Set(['x-load']));
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

/** Returns the first value of a header; `name` is in lower case. */
export function findHeader(rawHeaders: readonly string[], name: string): string | undefined {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (isHeader(rawHeaders[index] ?? '', name)) return rawHeaders[index + 1];
  }
  return undefined;
}

/** Lists all values of a header; `name` is in lower case. */
export function listHeader(rawHeaders: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2)
    if (isHeader(rawHeaders[index] ?? '', name)) values.push(rawHeaders[index + 1] ?? '');
  return values;
}

/** True if the lower-case name is that of a hop-by-hop header. */
export function isHopByHop(name: string): boolean {
  return hopByHopHeaders.has(name);
}

/** Returns the lower-case names in the `Connection` header, which make the headers of these names hop-by-hop. */
export function listConnectionOptions(rawHeaders: readonly string[]): Set<string> | undefined {
  const value = findHeader(rawHeaders, 'connection');
  if (value === undefined || value === 'keep-alive' || value === 'close') return undefined;
  return new Set(value.split(',').map((option) => option.trim().toLowerCase()));
}

/** Compares the lengths first, which spares most names of a head the conversion. */
function isHeader(candidate: string, name: string): boolean {
  return candidate.length === name.length && candidate.toLowerCase() === name;
}

/**
 * Encodes a name for a head that is written as Latin-1: as UTF-8 if it has characters beyond Latin-1, and with spaces in place of
 * control characters.
 */
export function encodeHeaderLabel(label: string): string {
  const text = label.replace(CONTROL_CHARACTERS, ' ');
  return BEYOND_LATIN_1.test(text) ? Buffer.from(text).toString('latin1') : text;
}
