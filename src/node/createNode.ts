import type { NodeBoard, Posts, Sections } from '../control/sections.js';
import { createSections } from '../control/sections.js';
import { createCallController } from '../control/callController.js';
import type { CallController } from '../control/callController.js';
import { createConfigurationController } from '../control/configurationController.js';
import type { Controller, ControllerContext, NodeIo } from '../control/context.js';
import { createEventController } from '../control/eventController.js';
import { createLimitController } from '../control/limitController.js';
import { createLinkController } from '../control/linkController.js';
import { createMembershipController } from '../control/membershipController.js';
import { createQuarantineController } from '../control/quarantineController.js';
import { createRetryController } from '../control/retryController.js';
import { createRoutingController } from '../control/routingController.js';
import { createSheddingController } from '../control/sheddingController.js';
import { createTargetController } from '../control/targetController.js';
import { createTicketController } from '../control/ticketController.js';
import { createBoard } from '../core/blackboard.js';
import { hashText } from '../core/hash.js';
import type { Clock } from '../core/clock.js';
import { createDeadlineTimer } from '../core/deadlineTimer.js';
import { createHybridClock } from '../core/hybridClock.js';
import { generateId } from '../core/random.js';
import type { Random } from '../core/random.js';
import { defaultPolicies } from '../policy/policies.js';
import type { Policies } from '../policy/policies.js';
import type { ComputeMac } from '../policy/ticket.js';
import type { Frame, Lane } from '../schema/frame.js';
import type { MemberRecord, TargetAnnouncement } from '../schema/member.js';
import type { Settings } from '../schema/settings.js';
import { dispatchFrame } from './dispatchFrame.js';
import { createFrameTimestamps } from './frameTimestamps.js';

export interface NodeOptions extends NodeIo {
  settings: Settings;
  clock: Clock;
  random: Random;
  /** Generates an unguessable call token; the default is only as unpredictable as `random`. */
  generateToken?: () => string;
  /** Signs tickets with a key known only to this process; the default is insecure and meant for simulations. */
  computeTicketMac?: ComputeMac;
  /** Policies that replace the default ones. */
  policies?: Partial<Policies>;
}

/** The control logic of the process at one target host, without any I/O of its own. */
export interface Node extends Pick<CallController, 'handleCallerCall' | 'handleDownstreamCall'> {
  readonly board: NodeBoard;
  /** Issues `count` tickets for non-idempotent requests; none while this node is stopping. */
  issueTickets(count: number): string[];
  announceTarget(announcement: TargetAnnouncement): void;
  /** Handles a frame from a peer; `respond` writes to the connection on which the frame was received. */
  receiveFrame(host: string, lane: Lane, frame: Frame, respond: (frame: Frame) => void): void;
  /** Handles the end of a connection to a peer: calls in flight on it may or may not have run. */
  handleLinkClosed(host: string, lane: Lane): void;
  /** Handles the end of the stream that `respond` writes to: the calls received on it are cancelled. */
  handleStreamEnded(respond: (frame: Frame) => void): void;
  start(): void;
  /** Stops gracefully: refuses new calls, waits for those in flight, then calls `done`. */
  stop(done: () => void): void;
}

const TOKEN_DIGITS = 24;
/**
 * Minimum time for which a stopping node stays connected and refuses calls. A refused call is known not to have run,
 * while one that finds the connection closed may have run (`ran` is `unknown`). Within 2 s all nodes receive the record
 * that says that this node is leaving.
 */
const STOP_LINGER_MS = 2000;

/**
 * Creates a node that serves calls to operations of services. Its I/O functions are passed as options, so that the
 * daemon, the benches and the fuzzers run the same control logic.
 *
 * @example
 * const node = createNode({ settings, clock: createSystemClock(), random, sendFrame, callTarget });
 * node.start();
 */
export function createNode(options: NodeOptions): Node {
  const { settings, clock, random } = options;
  const board = createBoard<Sections, Posts>(createSections(createOwnMember(options)));
  const hybridClock = createHybridClock(clock.wallTime);
  const timestamps = createFrameTimestamps(hybridClock, options.sendFrame);
  const context: ControllerContext = {
    settings,
    board,
    clock,
    deadlines: createDeadlineTimer(clock),
    hybridClock,
    random,
    generateToken: options.generateToken ?? (() => generateId(random, TOKEN_DIGITS)),
    computeTicketMac: options.computeTicketMac ?? createInsecureMac(generateId(random, TOKEN_DIGITS)),
    policies: { ...defaultPolicies, ...options.policies },
    io: { ...options, sendFrame: timestamps.sendFrame },
  };
  const callController = createCallController(context);
  const controllers: Controller[] = [
    createEventController(context),
    createConfigurationController(context),
    createLinkController(context),
    createMembershipController(context),
    createTargetController(context),
    createLimitController(context),
    createSheddingController(context),
    createRoutingController(context),
    createRetryController(context),
    createTicketController(context),
    createQuarantineController(context),
    callController,
  ];
  return {
    board,
    handleCallerCall: callController.handleCallerCall,
    handleDownstreamCall: callController.handleDownstreamCall,
    issueTickets: (count) => {
      const issued: string[] = [];
      if (board.read('calls').isStopping) return issued;
      board.post('tickets', { type: 'issue', count, take: (tickets) => issued.push(...tickets) });
      return issued;
    },
    announceTarget: (announcement) => {
      board.post('target', { type: 'announce', announcement });
    },
    receiveFrame: (host, _lane, frame, respond) => {
      timestamps.receiveTimestamp(frame);
      dispatchFrame({ board, calls: callController, host, frame, respond: timestamps.wrapRespond(respond) });
    },
    handleLinkClosed: (host, lane) => {
      board.post('routes', { type: 'linkClosed', host });
      callController.handleLinkClosed(host, lane);
    },
    handleStreamEnded: (respond) => {
      callController.handleStreamEnded(timestamps.wrapRespond(respond));
    },
    start: () => {
      for (const controller of controllers) controller.start();
    },
    stop: (done) => {
      board.post('events', { kind: 'nodeStopping' });
      board.post('members', { type: 'updateSelf', change: { nodeState: 'leaving' } });
      const lingerUntilMs = clock.now() + STOP_LINGER_MS;
      callController.stopAccepting(() => {
        clock.schedule(Math.max(0, lingerUntilMs - clock.now()), () => {
          for (const controller of controllers) controller.stop();
          done();
        });
      });
    },
  };
}

function createInsecureMac(key: string): ComputeMac {
  return (text) => hashText(`${key}${text}`).toString(36);
}

function createOwnMember({ settings, clock, random }: NodeOptions): MemberRecord {
  const formatAddress = (listen: { host: string; port: number }): string => `${listen.host}:${listen.port}`;
  return {
    id: settings.host,
    incarnation: generateId(random, 12),
    startedAtMs: clock.wallTime(),
    version: 0,
    region: settings.region,
    dataCenter: settings.dataCenter,
    peerAddress: formatAddress(settings.peerListen),
    callerAddress: formatAddress(settings.callerListen),
    operatorAddress: formatAddress(settings.operatorListen),
    targetState: 'none',
    nodeState: 'alive',
  };
}
