import { createAdmissionController } from '../control/requests/admissionController.js';
import { createDemandController } from '../control/requests/demandController.js';
import { createBudgetController } from '../control/requests/budgetController.js';
import { createDecisionController } from '../control/requests/decisionController.js';
import { createEntryController } from '../control/requests/entryController.js';
import type { EntryController } from '../control/requests/entryController.js';
import type { RequestContext, RequestIo } from '../control/requests/context.js';
import { createLinkController } from '../control/requests/linkController.js';
import type { LinkController } from '../control/requests/linkController.js';
import { createMemberController } from '../control/requests/memberController.js';
import { createNodeController } from '../control/requests/nodeController.js';
import { createQuotaController } from '../control/requests/quotaController.js';
import { createQuarantineController } from '../control/requests/quarantineController.js';
import { createRouteController } from '../control/requests/routeController.js';
import { createRunController } from '../control/requests/runController.js';
import { createRequestSections } from '../control/requests/sections.js';
import type { RequestBoard, RequestPosts, RequestSections } from '../control/requests/sections.js';
import { createStoreController } from '../control/requests/storeController.js';
import { createSpeedController } from '../control/requests/speedController.js';
import { createSettingsController } from '../control/requests/settingsController.js';
import { createTargetController } from '../control/requests/targetController.js';
import type { LinkLimits } from '../control/requests/linkBudget.js';
import type { Controller } from '../control/context.js';
import { createBoard } from '../core/blackboard.js';
import type { Clock } from '../core/clock.js';
import { createDeadlineTimer } from '../core/deadlineTimer.js';
import { generateId } from '../core/random.js';
import type { Random } from '../core/random.js';
import { createStopPlan, STOP_NOTICE_MS } from '../policy/stopPlan.js';
import type { Heartbeat, NodeMember } from '../schema/nodeMember.js';
import type { RequestSettings } from '../schema/requestSettings.js';

export interface RequestNodeOptions extends RequestIo {
  settings: RequestSettings;
  clock: Clock;
  random: Random;
  /** Limits of the links that other nodes open. */
  linkLimits?: Partial<LinkLimits>;
}

/** The control logic of a node that serves routed requests, without any I/O of its own. */
export interface RequestNode
  extends Pick<EntryController, 'acceptRequest' | 'isIdempotent'>, Pick<LinkController, 'acceptLink' | 'linkCounts'> {
  readonly board: RequestBoard;
  /** Calls `acknowledge`, or `refuse` with the reason if the heartbeat is not that of this host's target. */
  receiveHeartbeat(id: string, heartbeat: Heartbeat, acknowledge: () => void, refuse?: (fault: string) => void): void;
  /** `startedAtMs` is the Unix time at which the target started, if it names it. */
  receiveLeave(id: string, acknowledge: () => void, startedAtMs?: number): void;
  start(): void;
  /** Stops accepting work for the local target; calls `done` once idle or when the grace time is almost over. */
  stop(done: () => void): void;
  /** Stops all controllers. */
  close(): void;
}

const INCARNATION_DIGITS = 12;
const IDLE_CHECK_INTERVAL_MS = 50;

/**
 * Creates a node that serves HTTP requests to routes. Its I/O functions are passed as options, so that the daemon and
 * the tests run the same control logic.
 *
 * @example
 * const node = createRequestNode({ settings, clock: createSystemClock(), random, ...io });
 * node.start();
 */
export function createRequestNode(options: RequestNodeOptions): RequestNode {
  const { settings, clock, random } = options;
  const sections = createRequestSections({ settings, self: createOwnMember(options), nowMs: clock.now() });
  const board = createBoard<RequestSections, RequestPosts>(sections);
  const context: RequestContext = { board, clock, random, deadlines: createDeadlineTimer(clock), io: options };
  const links = createLinkController(context, options.linkLimits);
  const entries = createEntryController(context);
  const controllers: Controller[] = [
    createDecisionController(context),
    createSettingsController(context),
    createNodeController(context),
    createTargetController(context),
    createRunController(context),
    createBudgetController(context),
    createQuarantineController(context),
    entries,
    links,
    createQuotaController(context),
    createDemandController(context),
    createSpeedController(context),
    createAdmissionController(context),
    createStoreController(context),
    createRouteController(context),
    createMemberController(context),
  ];
  const waitForIdle = (untilMs: number, notBeforeMs: number, done: () => void): void => {
    const isIdle =
      board.read('entries').open === 0 &&
      board.read('runs').running.size === 0 &&
      board.read('runs').queue.length === 0;
    const nowMs = clock.now();
    if (nowMs >= untilMs || (isIdle && nowMs >= notBeforeMs)) {
      done();
      return;
    }
    clock.schedule(IDLE_CHECK_INTERVAL_MS, () => {
      waitForIdle(untilMs, notBeforeMs, done);
    });
  };
  return {
    board,
    acceptRequest: entries.acceptRequest,
    isIdempotent: entries.isIdempotent,
    acceptLink: links.acceptLink,
    linkCounts: links.linkCounts,
    receiveHeartbeat: (id, heartbeat, acknowledge, refuse = () => undefined) => {
      board.post('target', { type: 'heartbeat', id, heartbeat, acknowledge, refuse });
    },
    receiveLeave: (id, acknowledge, startedAtMs) => {
      board.post('target', { type: 'leave', id, startedAtMs, acknowledge });
    },
    start: () => {
      for (const controller of controllers) controller.start();
    },
    stop: (done) => {
      const { graceSeconds } = board.read('settings').current.bounds;
      const nowMs = clock.now();
      const plan = createStopPlan({ nowMs, graceMs: graceSeconds * 1000 });
      board.post('node', { type: 'stop', plan });
      waitForIdle(plan.closeAtMs, nowMs + STOP_NOTICE_MS, done);
    },
    close: () => {
      for (const controller of [...controllers].reverse()) controller.stop();
    },
  };
}

function createOwnMember({ settings, clock, random }: RequestNodeOptions): NodeMember {
  const { host, dataCenter, region, service, linkListen } = settings;
  return {
    host,
    dataCenter,
    region,
    service,
    linkAddress: linkListen,
    incarnation: generateId(random, INCARNATION_DIGITS),
    startedAtMs: Math.round(clock.wallTime()),
    revision: 0,
  };
}
