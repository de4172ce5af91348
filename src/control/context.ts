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

/** Sends a call to the local target; `done` is called once unless the returned function cancels the call first. */
export type CallTarget = (request: TargetRequest, done: (outcome: TargetOutcome) => void) => () => void;

/**
 * Sends a frame to a node, identified by its id or peer address. Returns false only if the frame was not written, in
 * which case a call in it has not run.
 */
export type SendFrame = (peer: string, lane: Lane, frame: Frame) => boolean;

/** Reads log records from an offset on; may wait until records are available. */
export type ReadLog = (fromOffset: number, done: (outcome: LogReadOutcome) => void) => void;
/** Appends a log record; the outcome is `unknown` if the response was lost. */
export type AppendLog = (record: LogRecord, done: (outcome: LogAppendOutcome) => void) => void;

/** Checks whether the local target accepts connections. */
export type ProbeTarget = (address: string, done: (isUp: boolean) => void) => void;

/** The side effects of a node, passed in as functions. */
export interface NodeIo {
  sendFrame: SendFrame;
  callTarget: CallTarget;
  /** Without it, crashes of the local target are not detected. */
  probeTarget?: ProbeTarget;
  readLog?: ReadLog;
  appendLog?: AppendLog;
}

/** Dependencies of the controllers of a node. */
export interface ControllerContext {
  settings: Settings;
  board: NodeBoard;
  clock: Clock;
  deadlines: DeadlineTimer;
  hybridClock: HybridClock;
  random: Random;
  /** Generates an unguessable token. */
  generateToken: () => string;
  /** Computes the message authentication code of a ticket with the key of this process. */
  computeTicketMac: ComputeMac;
  policies: Policies;
  io: NodeIo;
}

/** Reads sections of the board and writes those that it claimed. */
export interface Controller {
  start(): void;
  stop(): void;
}
