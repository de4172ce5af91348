import type { PublishedTarget, TargetPhase } from '../../schema/nodeMember.js';

/** State of the local target. Times are monotonic (ms) unless noted otherwise. */
export interface TargetState {
  phase: TargetPhase;
  id: string;
  /** Unix time of its start (ms). */
  startedAtMs: number;
  sequence: number;
  service: string;
  address: string;
  slots: number;
  coldUntilMs: number;
  lastHeartbeatMs: number;
  /** Until when the target receives no requests, since it refused connections or did not answer; 0 if not ejected. */
  ejectedUntilMs: number;
  /** Requests per second that the target takes from all nodes together; undefined while it names no limit. */
  ratePerSecond: number | undefined;
  /** Time of the last answer that named a limit. */
  rateNamedAtMs: number;
}

/** Builds what is published of the local target; undefined while none is known. */
export function buildPublishedTarget(state: Readonly<TargetState>): PublishedTarget | undefined {
  const { id, startedAtMs, sequence, phase, service, address, slots, ratePerSecond } = state;
  if (id === '') return undefined;
  const named = ratePerSecond === undefined ? {} : { ratePerSecond };
  return { id, startedAtMs, sequence: Math.max(0, sequence), phase, service, address, slots, ...named };
}
