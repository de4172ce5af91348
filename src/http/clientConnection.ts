import type { Socket } from 'node:net';
import type { Refusal } from '../schema/refusal.js';
import type { BudgetedClient, ClientBudget } from '../control/requests/clientBudget.js';
import { buildFaultRefusal, checkRequestHead } from './checkRequestHead.js';
import { createClientExchange } from './clientExchange.js';
import type { ClientExchange, RequestHandling } from './clientExchange.js';
import type { ConnectionPhase, TimedConnection } from './connectionTimeouts.js';
import { createDeferredEvents } from './deferredEvents.js';
import type { RequestEventKind } from './deferredEvents.js';
import { createExchangeQueue } from './exchangeQueue.js';
import type { RunAheadCount } from './exchangeQueue.js';
import type { MessageHead, ParseError } from './messageParser.js';
import { createReadFlow } from './readTurns.js';
import type { ReadTurns } from './readTurns.js';
import type { RequestHead } from './requestHead.js';
import { createRequestReader, HEADER_OVERHEAD_BYTES, SLICE_BYTES } from './requestReader.js';

/** A connection as its timeouts and the budget see it. */
export type ClientConnection = BudgetedClient & TimedConnection;

export interface ClientConnectionOptions extends RequestHandling {
  socket: Socket;
  now: () => number;
  /** Counts what all connections of the process hold. */
  budget: Pick<ClientBudget, 'add' | 'change' | 'remove'>;
  /** Shares the time for reading among the connections of the process. */
  turns: ReadTurns;
  /** Pipelined requests of all connections that run ahead of others. */
  runAhead: RunAheadCount;
  readHead: (message: { rawHeaders: string[]; url: string }) => RequestHead;
  /** Returns the refusal of a request whose head lacks what this listener needs. */
  checkHead: (head: RequestHead) => Refusal | undefined;
  /** True once the connection has to be closed after the current response; `hasMoreInput` if the client sent more behind it. */
  isStopping: (hasMoreInput: boolean) => boolean;
  /** Called once when the connection was closed. */
  handleClose: () => void;
}

/** Parser events after which other connections are read first. */
const MAX_EVENTS_PER_TURN = 64;
/** After a read of at least this size, which a client that sends much fills, other connections are read first. */
const LARGE_READ_BYTES = 32 * 1024;
/** A body counts as moving with each such number of bytes, so that single bytes do not keep a connection. */
const PROGRESS_BYTES = 4096;
/** Number of requests that a client may send without waiting for responses before further ones count as excess requests. */
const MAX_BURST_REQUESTS = 8;
const EMPTY = Buffer.alloc(0);

/** Serves the requests of one client connection side by side, and answers them in their order. */
export function createClientConnection(options: ClientConnectionOptions): ClientConnection {
  const { socket, now, budget, turns } = options;
  let phase: ConnectionPhase = 'idle';
  let phaseStartedAtMs = now();
  let movedAtMs = phaseStartedAtMs;
  let hasSentRequest = false;
  let heldBytes = 0;
  let progressBytes = 0;
  /** The request whose body is being read. */
  let reading: ClientExchange | undefined;
  /** Received bytes that were not parsed. */
  let unparsed: Buffer = EMPTY;
  let isAdvancing = false;
  /** Number of requests since all that was received was answered. */
  let burstLength = 0;

  const enterPhase = (next: ConnectionPhase): void => {
    phase = next;
    phaseStartedAtMs = now();
  };
  const findPhase = (): ConnectionPhase => {
    if (exchanges.length > 0) return 'request';
    return reader.isInHead ? 'head' : 'idle';
  };
  /** Brings phase, held bytes and reading in line with what was just done. */
  const settle = (): void => {
    if (phase !== 'closing' && findPhase() !== phase) enterPhase(findPhase());
    if (phase === 'idle' && unparsed.length === 0 && deferred.length === 0) burstLength = 0;
    const bytes =
      exchanges.heldBytes + deferred.heldBytes + reader.heldBytes + unparsed.buffer.byteLength + socket.writableLength;
    const change = bytes - heldBytes;
    heldBytes = bytes;
    if (change !== 0) budget.change(connection, change);
  };
  /**
   * Half-closes the connection and discards what the client still sends: closing a socket with unread data resets the
   * connection, and the client could lose the response.
   */
  const close = (): void => {
    if (phase === 'closing') return;
    enterPhase('closing');
    abandonExchanges();
    socket.end();
    flow.resume();
  };
  const abandonInput = (): void => {
    deferred.clear();
    unparsed = EMPTY;
    reading = undefined;
  };
  const abandonExchanges = (): void => {
    abandonInput();
    exchanges.cancelAll();
  };
  const exchanges = createExchangeQueue({
    runAhead: options.runAhead,
    readLimits: options.readLimits,
    isStopping: () => options.isStopping(unparsed.length > 0 || deferred.length > 0),
    handleLastResponse: (exchange) => {
      // The rest of the request itself is still read.
      if (reading !== exchange) abandonInput();
    },
  });
  const finishExchange = (exchange: ClientExchange): void => {
    movedAtMs = now();
    if (exchanges.isFirst(exchange) && !exchanges.finish(exchange)) close();
    advanceReading();
  };
  const isStartAllowed = (): boolean =>
    socket.writable && reading === undefined && exchanges.isStartAllowed(socket.writableLength);
  const isReady = (kind: RequestEventKind): boolean => {
    if (kind === 'head') return isStartAllowed();
    return kind === 'bodyPart' || exchanges.length === 0 || reading !== undefined;
  };
  /** True if nothing more may be parsed until a response was written or read, or the body was passed on. */
  const isBlocked = (): boolean =>
    deferred.length > 0 || (reading === undefined ? !isStartAllowed() : reading.isBodyBlocked());
  const deferred = createDeferredEvents(isReady);
  const runOrDefer = (kind: RequestEventKind, dataBytes: number, run: () => void): void => {
    if (phase !== 'closing') deferred.runOrDefer(kind, dataBytes, run);
  };
  /** Parses a part of what was received; returns the number of events in it. */
  const parseSlice = (): number => {
    const { length, eventCount, fault } = reader.readSlice(unparsed);
    const isOver = fault !== undefined || !socket.writable;
    unparsed = isOver || unparsed.length === length ? EMPTY : unparsed.subarray(length);
    if (fault !== undefined) {
      runOrDefer('fault', 0, () => {
        handleFault(fault);
      });
    }
    return eventCount;
  };
  /** Parses what was received, as far as other connections and earlier requests allow. */
  const advanceReading = (): void => {
    if (isAdvancing || flow.isTurnAdded) {
      if (!isAdvancing) settle();
      return;
    }
    isAdvancing = true;
    deferred.runReady();
    let eventCount = 0;
    while (unparsed.length > 0 && !isBlocked() && eventCount < MAX_EVENTS_PER_TURN) eventCount += parseSlice();
    reading?.flushBody();
    isAdvancing = false;
    if (unparsed.length > 0 && !isBlocked()) flow.addTurn();
    else if (unparsed.length > 0 || deferred.length > 0 || reading?.isBodyBlocked() === true) flow.suspend();
    else flow.resume();
    settle();
  };
  const startExchange = (message: MessageHead, readBytes: number): void => {
    const head = options.readHead({ rawHeaders: message.rawHeaders, url: message.url });
    const { readLimits, maxWholeBodyBytes, formatRefusal, accept, isIdempotent } = options;
    const exchange = createClientExchange({
      message,
      head,
      socket,
      now,
      readLimits,
      maxWholeBodyBytes,
      formatRefusal,
      accept,
      isIdempotent,
      isFirst: exchanges.isFirst,
      formatConnectionHeaders: exchanges.formatConnectionHeaders,
      isExcess: burstLength >= MAX_BURST_REQUESTS,
      handleProgress: () => {
        movedAtMs = now();
        advanceReading();
      },
      handleEnd: finishExchange,
    });
    burstLength++;
    exchanges.add(exchange);
    reading = exchange;
    const refusal = options.checkHead(head) ?? checkRequestHead({ message, head, readBytes }, readLimits());
    if (refusal !== undefined) exchange.refuse(refusal);
    else exchange.start();
  };
  const receiveBody = (part: Buffer): void => {
    progressBytes += part.length;
    if (progressBytes >= PROGRESS_BYTES) {
      progressBytes = 0;
      movedAtMs = now();
    }
    reading?.addBody(part);
  };
  const endRequest = (): void => {
    const exchange = reading;
    reading = undefined;
    if (exchange === undefined) return;
    movedAtMs = now();
    hasSentRequest = true;
    exchange.endRequest();
  };
  const refuseAndClose = (refusal: Refusal): void => {
    const { head, body } = options.formatRefusal(refusal);
    socket.write(`${head}Connection: close\r\n\r\n${body}`);
    close();
  };
  const handleFault = (fault: ParseError): void => {
    const refusal = buildFaultRefusal(fault);
    if (reading !== undefined) reading.refuse(refusal);
    else if (socket.writable) refuseAndClose(refusal);
  };
  const flow = createReadFlow({ socket, turns, advance: advanceReading });
  const reader = createRequestReader({
    readLimits: options.readLimits,
    events: {
      head: (message, readBytes) => {
        const headerCount = message.rawHeaders.length / 2;
        runOrDefer('head', readBytes + headerCount * HEADER_OVERHEAD_BYTES, () => {
          startExchange(message, readBytes);
        });
      },
      body: (part) => {
        runOrDefer('bodyPart', part.length, () => {
          receiveBody(part);
        });
      },
      end: () => {
        runOrDefer('bodyPart', 0, endRequest);
      },
    },
  });
  const receive = (chunk: Buffer): void => {
    if (phase === 'closing') {
      if (chunk.length >= SLICE_BYTES) flow.addTurn();
      return;
    }
    unparsed = unparsed.length === 0 ? chunk : Buffer.concat([unparsed, chunk]);
    // A client that waits for each response is read at once, as its request is all that it sends.
    const isWaiting = turns.isUsedUp && !(burstLength === 0 && chunk.length <= SLICE_BYTES);
    if (isWaiting || chunk.length >= LARGE_READ_BYTES) {
      flow.addTurn();
      settle();
    } else turns.run(advanceReading);
  };
  const connection: ClientConnection = {
    get phase() {
      return phase;
    },
    get phaseStartedAtMs() {
      return phaseStartedAtMs;
    },
    get standing() {
      if (phase === 'closing') return 'closing';
      if (exchanges.isServing) return 'serving';
      return hasSentRequest ? 'idle' : 'unproven';
    },
    get heldBytes() {
      return heldBytes;
    },
    get movedAtMs() {
      return movedAtMs;
    },
    expire: () => {
      refuseAndClose({ kind: 'readTimeout', detail: 'the request head did not arrive in time' });
      settle();
    },
    destroy: () => {
      enterPhase('closing');
      abandonExchanges();
      socket.destroy();
    },
  };
  socket.setNoDelay(true);
  socket.on('data', receive);
  socket.on('drain', () => {
    movedAtMs = now();
    if (unparsed.length > 0 || deferred.length > 0) advanceReading();
    else settle();
  });
  socket.on('end', abandonExchanges);
  // A `close` event follows.
  socket.on('error', abandonExchanges);
  socket.on('close', () => {
    abandonExchanges();
    reader.close();
    budget.remove(connection);
    options.handleClose();
  });
  budget.add(connection);
  return connection;
}
