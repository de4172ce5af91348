import type { LinkLane, LoadReport, Profile } from '../../schema/linkFrame.js';

/** One connection to a peer on one lane. */
export interface LinkState {
  phase: 'down' | 'dialling' | 'up';
  /** Monotonic time (ms) of the last received frame. */
  lastReceivedMs: number;
  /** Monotonic time (ms) of the first request that was sent since then; undefined if there is none. */
  unansweredSinceMs: number | undefined;
}

/** State of another node as received over the links. Times are monotonic (ms). */
export interface PeerState {
  readonly host: string;
  readonly lanes: Record<LinkLane, LinkState>;
  load: LoadReport;
  loadAtMs: number;
  /** Number of requests sent since the last load report. */
  sentSinceReport: number;
  /** Number of requests sent and not settled yet. */
  outstanding: number;
  configurationVersion: number;
  /** True while it cannot read the configuration from the store. */
  isStoreLost: boolean;
  memberCount: number;
  /** Undefined until a status with a digest was received. */
  membersDigest: number | undefined;
  profile: Profile;
  /** False if the link only serves the quotas: this node then sends no requests over it. */
  takesRuns: boolean;
  /** Id of the target to which the last request was sent; empty before the first one. */
  lastTargetId: string;
}

/** Creates the state of a peer from which nothing has been received. */
export function createPeer(host: string): PeerState {
  return {
    host,
    lanes: { urgent: createLinkState(), routine: createLinkState() },
    load: createUnknownLoad(),
    loadAtMs: 0,
    sentSinceReport: 0,
    outstanding: 0,
    configurationVersion: -1,
    isStoreLost: false,
    memberCount: 0,
    membersDigest: undefined,
    profile: createEmptyProfile(),
    takesRuns: true,
    lastTargetId: '',
  };
}

/** Returns the load of a node that has not reported one yet. */
export function createUnknownLoad(): LoadReport {
  return { phase: 'none', service: '', targetId: '', running: 0, queued: 0, limit: 1, durationMs: 0, failureShare: 0 };
}

/** Returns the profile of a node that has not reported one yet. */
export function createEmptyProfile(): Profile {
  return { demand: [], calls: [], durations: [] };
}

function createLinkState(): LinkState {
  return { phase: 'down', lastReceivedMs: 0, unansweredSinceMs: undefined };
}
