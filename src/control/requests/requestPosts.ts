import type { StopPlan } from '../../policy/stopPlan.js';
import type { Decision } from '../../schema/decision.js';
import type { CrashReport, QuotaAskFrame } from '../../schema/linkFrame.js';
import type { Departure, Heartbeat, NodeMember, PublishedTarget } from '../../schema/nodeMember.js';
import type { RequestSettings } from '../../schema/requestSettings.js';
import type { RouteConfiguration } from '../../schema/routeConfiguration.js';
import type { QuotaPost } from './quotaSection.js';
import type { RunAttempt, TargetNotice } from './runPort.js';

/** A heartbeat of a target; ends with one call of `acknowledge` or `refuse`. */
export interface HeartbeatPost {
  type: 'heartbeat';
  id: string;
  heartbeat: Heartbeat;
  acknowledge: () => void;
  /** Called with the reason why the heartbeat names no target of this host. */
  refuse: (fault: string) => void;
}

/** The announcement of a target that it leaves. */
export interface LeavePost {
  type: 'leave';
  id: string;
  /** Unix time at which the target started (ms); undefined if it does not say. */
  startedAtMs: number | undefined;
  acknowledge: () => void;
}

/** The requests that other controllers and the front ends may post to the writer of a section. */
export interface RequestPosts {
  settings: RequestSettings;
  node: { type: 'stop'; plan: StopPlan };
  routes: { configuration: RouteConfiguration; source: string };
  members:
    | { type: 'apply'; members: readonly NodeMember[]; source: string; isComplete: boolean }
    /** `target` is undefined while none is known; `departures` are those not published before. */
    | { type: 'publishTarget'; target: PublishedTarget | undefined; departures: readonly Departure[] }
    /** Calls `run` once the store has the published state of the target, so that it outlasts all processes. */
    | { type: 'whenDurable'; run: () => void };
  store: { era: number; source: string };
  target:
    | HeartbeatPost
    | LeavePost
    | { type: 'eject'; reason: string; isDown: boolean }
    | { type: 'suspect' }
    | { type: 'answered' }
    /** Another target answered a request at the address of the one that is named by its id and start time. */
    | { type: 'refuted'; id: string; startedAtMs: number }
    /** The target, named by its id and start time, answered a request that was sent to it at `sentAtMs`. */
    | { type: 'notice'; id: string; startedAtMs: number; sentAtMs: number; notice: TargetNotice };
  links:
    /** `isUrgent`: it may take the lane of urgent requests. */
    | { type: 'send'; attempt: RunAttempt; isUrgent: boolean }
    | { type: 'crash'; report: CrashReport }
    /** Passes records that were read from the store to the peers in the own data centre. */
    | { type: 'members'; members: readonly NodeMember[] }
    | { type: 'quotaAsk'; host: string; frame: QuotaAskFrame };
  runs: { type: 'accept'; attempt: RunAttempt };
  entries: never;
  demand: never;
  speeds: never;
  admission: never;
  budgets: { type: 'request'; service: string } | { type: 'retry'; service: string };
  quotas: QuotaPost;
  quarantine:
    | { type: 'report'; report: CrashReport; source: string }
    | { type: 'requestLost'; fingerprint: number }
    /** The local target answered a request that ran at a crash. */
    | { type: 'requestAnswered'; fingerprint: number }
    /** A single request runs after a quarantine. */
    | { type: 'trialStarted'; fingerprint: number }
    | { type: 'targetCrashed'; targetId: string };
  decisions: Decision;
}
