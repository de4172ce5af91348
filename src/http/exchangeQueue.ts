import type { RequestLimits } from '../schema/routeConfiguration.js';
import type { ClientExchange } from './clientExchange.js';

/** The requests of one connection that are not answered yet, in their order. */
export interface ExchangeQueue {
  readonly length: number;
  /** Estimated memory held for the requests and their responses. */
  readonly heldBytes: number;
  /** True if a request was passed on and is not answered. */
  readonly isServing: boolean;
  add(exchange: ClientExchange): void;
  /** True if all requests before this one are answered. */
  isFirst(exchange: ClientExchange): boolean;
  /** True if one more request may be started while `unreadBytes` of the responses are unread. */
  isStartAllowed(unreadBytes: number): boolean;
  /** Formats the `Connection` and `Keep-Alive` header lines of a response. */
  formatConnectionHeaders(exchange: ClientExchange, mustClose: boolean): string;
  /** Removes an answered request and advances the next one; returns false if the connection has to be closed. */
  finish(exchange: ClientExchange): boolean;
  /** Cancels all requests. */
  cancelAll(): void;
}

/** Number of requests of all connections that run ahead of unanswered ones in front of them. */
export interface RunAheadCount {
  requests: number;
}

export interface ExchangeQueueOptions {
  /** Shared by all connections of the process. */
  runAhead: RunAheadCount;
  readLimits: () => RequestLimits | undefined;
  /** True once connections have to be closed after their responses. */
  isStopping: () => boolean;
  /** Called when the response to a request was begun after which the connection is closed. */
  handleLastResponse: (exchange: ClientExchange) => void;
}

/** Number of requests of a connection that are read and not answered yet. */
const MAX_OPEN_REQUESTS = 8;
/**
 * Number of requests of all connections that may run ahead. Beyond it, connections run one request at a time, so that clients
 * that pipeline many do not take the place of others.
 */
const MAX_RUN_AHEAD = 128;
/** While more than this of the responses waits for its turn or for the client to read, no further request is started. */
const MAX_UNREAD_BYTES = 64 * 1024;

/**
 * Creates the queue of one connection. Requests behind a response that closes the connection count as not read: clients send
 * them again, whatever they are. So nothing is started behind such a response, and what already runs ahead is cancelled.
 */
export function createExchangeQueue(options: ExchangeQueueOptions): ExchangeQueue {
  const { runAhead, readLimits, isStopping, handleLastResponse } = options;
  const exchanges: ClientExchange[] = [];
  let isLastBegun = false;
  let ahead = 0;

  /** Once a stop was announced, the response to the last request that was passed on closes the connection. */
  const isLast = (exchange: ClientExchange, mustClose: boolean): boolean =>
    mustClose || (isStopping() && !exchanges.some((other) => other !== exchange && other.isPassedOn));
  const settleRunAhead = (): void => {
    const count = Math.max(0, exchanges.length - 1);
    runAhead.requests += count - ahead;
    ahead = count;
  };
  const countWaitingBytes = (): number => {
    let bytes = 0;
    for (const exchange of exchanges) bytes += exchange.waitingBytes;
    return bytes;
  };
  return {
    get length() {
      return exchanges.length;
    },
    get heldBytes() {
      let bytes = 0;
      for (const exchange of exchanges) bytes += exchange.countHeldBytes();
      return bytes;
    },
    get isServing() {
      return exchanges.some(({ isPassedOn }) => isPassedOn);
    },
    add: (exchange) => {
      exchanges.push(exchange);
      settleRunAhead();
    },
    isFirst: (exchange) => exchanges[0] === exchange,
    isStartAllowed: (unreadBytes) => {
      if (isLastBegun || exchanges.length >= MAX_OPEN_REQUESTS) return false;
      const last = exchanges.at(-1);
      if (last !== undefined && runAhead.requests >= MAX_RUN_AHEAD) return false;
      if (last !== undefined && (last.isLast() || last.isHeldBack || isStopping())) return false;
      return unreadBytes + countWaitingBytes() <= MAX_UNREAD_BYTES;
    },
    formatConnectionHeaders: (exchange, mustClose) => {
      if (isLast(exchange, mustClose)) {
        isLastBegun = true;
        for (const other of exchanges.splice(1)) other.cancel();
        settleRunAhead();
        handleLastResponse(exchange);
        return 'Connection: close\r\n';
      }
      const seconds = Math.floor((readLimits()?.idleTimeoutMs ?? 0) / 1000);
      const keepAlive = seconds > 0 ? `Keep-Alive: timeout=${seconds}\r\n` : '';
      return `Connection: keep-alive\r\n${keepAlive}`;
    },
    finish: (exchange) => {
      exchanges.shift();
      settleRunAhead();
      // The connection is closed after an incomplete request: the rest of its body must not be parsed as a request.
      if (isLastBegun || isLast(exchange, exchange.isLast())) return false;
      exchanges[0]?.becomeFirst();
      return true;
    },
    cancelAll: () => {
      for (const exchange of exchanges.splice(0)) exchange.cancel();
      settleRunAhead();
    },
  };
}
