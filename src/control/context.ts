import type { Clock } from '../core/clock.js';
import type { DeadlineTimer } from '../core/deadlineTimer.js';
import type { HybridClock } from '../core/hybridClock.js';
import type { Random } from '../core/random.js';
import type { Policies } from '../policy/policies.js';
import type { ComputeMac } from '../policy/ticket.js';
import type { TargetOutcome, TargetRequest } from '../schema/call.js';
import type { Frame, Lane } from '../schema/frame.js';
import type { LogAppendOutcome, LogReadOutcome, LogRecord } from '../schema/logRecord.js';
import type { Settings } from '../schema/settings.js';
import type { NodeBoard } from './sections.js';

/** Sends a call to the local target; the outcome is reported once unless the returned function is called first. */
export type CallTarget = (request: TargetRequest, done: (outcome: TargetOutcome) => void) => () => void;

/**
 * Sends a frame to a node, named by its id or by a peer address. False when it certainly was not written, so that the
 * call did not run.
 */
export type SendFrame = (peer: string, lane: Lane, frame: Frame) => boolean;

/** Reads records from an offset on; may wait until there are some. */
export type ReadLog = (fromOffset: number, done: (outcome: LogReadOutcome) => void) => void;
/** Appends one record; `unknown` when the answer was lost. */
export type AppendLog = (record: LogRecord, done: (outcome: LogAppendOutcome) => void) => void;

/** What a node needs from outside: all effects are functions passed in. */
export interface NodeIo {
  sendFrame: SendFrame;
  callTarget: CallTarget;
  readLog?: ReadLog;
  appendLog?: AppendLog;
}

/** What every controller gets when it is created. */
export interface ControllerContext {
  settings: Settings;
  board: NodeBoard;
  clock: Clock;
  deadlines: DeadlineTimer;
  hybridClock: HybridClock;
  random: Random;
  /** Creates an unguessable text. */
  generateToken: () => string;
  /** Keyed hash of this process for its tickets. */
  computeTicketMac: ComputeMac;
  policies: Policies;
  io: NodeIo;
}

/** A unit that reads sections and writes those that it claimed. */
export interface Controller {
  start(): void;
  stop(): void;
}
