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
import { createFrameStamps } from './stampFrames.js';

export interface NodeOptions extends NodeIo {
  settings: Settings;
  clock: Clock;
  random: Random;
  /** Creates an unguessable text; the default is only as good as `random`. */
  generateToken?: () => string;
  /** Keyed hash with a key that only this process has, for its tickets; the default is for fake runs only. */
  computeTicketMac?: ComputeMac;
  /** Decisions to use in place of the default ones. */
  policies?: Partial<Policies>;
}

/** A node as functions: everything that the process at one target host decides, without any I/O of its own. */
export interface Node extends Pick<CallController, 'handleCallerCall' | 'handleOnwardCall'> {
  readonly board: NodeBoard;
  /** Hands out tickets for non-idempotent requests; fewer than `count` when this node is stopping. */
  issueTickets(count: number): string[];
  announceTarget(announcement: TargetAnnouncement): void;
  /** Takes a frame from a peer; `respond` writes on the connection that the frame came by. */
  receiveFrame(host: string, lane: Lane, frame: Frame, respond: (frame: Frame) => void): void;
  /** Tells that a connection to a peer ended: its open calls may or may not have run. */
  receiveLinkClosed(host: string, lane: Lane): void;
  /** Tells that the stream behind `respond` ended: the calls that came by it are cancelled. */
  receiveStreamEnded(respond: (frame: Frame) => void): void;
  start(): void;
  /** Stops gracefully: refuses new calls, lets those in flight end, then calls back. */
  stop(done: () => void): void;
}

const TOKEN_DIGITS = 24;
/**
 * A stopping node goes on to refuse calls for this long, since one that meets a closed connection would count as
 * `unknown`. By design all nodes know within 2 s that it is leaving.
 */
const STOP_LINGER_MS = 2000;

/**
 * Creates a node over functions for its effects, so that the daemon, the benches and the fuzzers run the same code.
 *
 * @example
 * const node = createNode({ settings, clock: createSystemClock(), random, sendFrame, callTarget });
 * node.start();
 */
export function createNode(options: NodeOptions): Node {
  const { settings, clock, random } = options;
  const board = createBoard<Sections, Posts>(createSections(createSelf(options)));
  const hybridClock = createHybridClock(clock.wallTime);
  const stamps = createFrameStamps(hybridClock, options.sendFrame);
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
    io: { ...options, sendFrame: stamps.sendFrame },
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
    handleOnwardCall: callController.handleOnwardCall,
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
      stamps.receiveStamp(frame);
      dispatchFrame({ board, calls: callController, host, frame, respond: stamps.buildRespond(respond) });
    },
    receiveLinkClosed: (host, lane) => {
      board.post('routes', { type: 'linkClosed', host });
      callController.receiveLinkClosed(host, lane);
    },
    receiveStreamEnded: (respond) => {
      callController.receiveStreamEnded(stamps.buildRespond(respond));
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

function createSelf({ settings, clock, random }: NodeOptions): MemberRecord {
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
