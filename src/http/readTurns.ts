import type { Socket } from 'node:net';
import { createFifo } from '../core/fifo.js';

/** Lets connections with more to read take turns, so that none of them keeps the event loop from the others. */
export interface ReadTurns {
  /**
   * True if connections have used up the time for reading at once in this turn of the event loop, or others wait to be accepted.
   */
  readonly isUsedUp: boolean;
  /** Lets further connections be accepted before others are read. */
  notifyAccepted(): void;
  /** Runs a function at once and counts its time. */
  run(run: () => void): void;
  /** Runs a function in a later turn of the event loop, after those that were added before. */
  add(run: () => void): void;
}

/** Time that the functions of one turn may take together, and those that run at once in one turn of the event loop (ms). */
const MAX_TURN_MS = 4;
/** Counts also runs that are shorter than the clock shows (ms). */
const MIN_RUN_MS = 0.001;
/**
 * Turns in a row without work while connections arrive. libuv accepts one connection per turn of the event loop, so that many of
 * them would wait for as many whole turns.
 */
const MAX_EMPTY_TURNS = 16;
/** Bounds the turns whose work is done only afterwards, by the reads that they resume. */
const MAX_RUNS_PER_TURN = 16;

/** Creates the queue of the connections of one process that have more to read than one turn allows. */
export function createReadTurns(now: () => number): ReadTurns {
  const waiting = createFifo<() => void>();
  let isScheduled = false;
  let usedMs = 0;
  let hasAccepted = false;
  let emptyTurns = 0;
  const resetUsed = (): void => {
    usedMs = 0;
  };
  const schedule = (): void => {
    if (isScheduled || (waiting.length === 0 && !hasAccepted)) return;
    isScheduled = true;
    setImmediate(runTurn);
  };
  const runTurn = (): void => {
    isScheduled = false;
    const isEmpty = hasAccepted && emptyTurns < MAX_EMPTY_TURNS;
    hasAccepted = false;
    emptyTurns = isEmpty ? emptyTurns + 1 : 0;
    if (!isEmpty) runWaiting();
    schedule();
  };
  const runWaiting = (): void => {
    const endMs = now() + MAX_TURN_MS;
    for (let count = 0; count < MAX_RUNS_PER_TURN && now() < endMs; count++) waiting.takeFirst()?.();
  };
  return {
    get isUsedUp() {
      return usedMs > MAX_TURN_MS || hasAccepted || emptyTurns > 0;
    },
    notifyAccepted: () => {
      hasAccepted = true;
      schedule();
    },
    run: (run) => {
      if (usedMs === 0) setImmediate(resetUsed);
      const startMs = now();
      run();
      usedMs += Math.max(MIN_RUN_MS, now() - startMs);
    },
    add: (run) => {
      waiting.add(run);
      schedule();
    },
  };
}

/** Parts of Node's handle of a socket that `@types/node` does not declare. */
interface ReadingHandle {
  reading?: boolean;
  readStop?: () => number;
}

/**
 * Stops reading from a socket at once; `socket.resume()` starts it again. `socket.pause()` alone lets one more read of
 * 64 KiB into the stream's buffer, which no bound would count.
 */
function stopReading(socket: Socket): void {
  socket.pause();
  const handle = (socket as Socket & { _handle?: ReadingHandle | null })._handle;
  if (handle?.reading !== true) return;
  handle.reading = false;
  handle.readStop?.();
}

/** Suspends and resumes the reading of one connection. */
export interface ReadFlow {
  /** True while the connection waits for its turn. */
  readonly isTurnAdded: boolean;
  suspend(): void;
  resume(): void;
  /** Suspends the reading and goes on in a later turn of the event loop, after other connections. */
  addTurn(): void;
}

/** Creates the read flow of one connection; `advance` is called at each of its turns. */
export function createReadFlow(options: { socket: Socket; turns: ReadTurns; advance: () => void }): ReadFlow {
  const { socket, turns, advance } = options;
  let isTurnAdded = false;
  let isSuspended = false;
  const suspend = (): void => {
    isSuspended = true;
    stopReading(socket);
  };
  return {
    get isTurnAdded() {
      return isTurnAdded;
    },
    suspend,
    resume: () => {
      if (!isSuspended) return;
      isSuspended = false;
      socket.resume();
    },
    addTurn: () => {
      if (isTurnAdded) return;
      isTurnAdded = true;
      suspend();
      turns.add(() => {
        isTurnAdded = false;
        advance();
      });
    },
  };
}
