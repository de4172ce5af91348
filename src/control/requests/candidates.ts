import type { TargetCandidate } from '../../policy/targetChoice.js';
import type { TargetSpeed } from '../../policy/targetSpeed.js';
import { chooseLane, isSuspectLane } from './context.js';
import { readLocalLoad } from './localLoad.js';
import type { RequestBoard } from './sections.js';

const UNKNOWN_SPEED: TargetSpeed = { slowness: 1, samples: 0 };

/**
 * Lists the nodes whose target can currently accept a request for a service; those behind links that are suspected to be
 * silent only if there are no others.
 */
export function listCandidates(
  board: RequestBoard,
  query: { service: string; isUrgent: boolean; nowMs: number },
): TargetCandidate[] {
  const { service, isUrgent, nowMs } = query;
  const { self, byHost: members } = board.read('members');
  const speeds = board.read('speeds').byService.get(service)?.byHost;
  const getSpeed = (host: string): TargetSpeed => speeds?.get(host) ?? UNKNOWN_SPEED;
  const candidates: TargetCandidate[] = [];
  const suspects: TargetCandidate[] = [];
  const own = readLocalLoad(board, nowMs);
  if (own.phase === 'ready' && own.service === service) {
    const place = { host: self.host, isOwnHost: true, isLocalDataCenter: true, isUntried: false, loadAgeMs: 0 };
    candidates.push({ ...place, load: own, speed: getSpeed(self.host), sentSinceReport: 0 });
  }
  for (const peer of board.read('links').byHost.values()) {
    const { host, load, loadAtMs, lanes, sentSinceReport, lastTargetId, takesRuns } = peer;
    if (!takesRuns || load.service !== service || load.phase !== 'ready') continue;
    const lane = lanes[chooseLane(peer, { isUrgent, nowMs })];
    if (lane.phase !== 'up') continue;
    const isLocalDataCenter = members.get(host)?.dataCenter === self.dataCenter;
    const isUntried = lastTargetId !== load.targetId;
    const speed = getSpeed(host);
    const place = { host, isOwnHost: false, isLocalDataCenter, isUntried, loadAgeMs: nowMs - loadAtMs };
    const candidate = { ...place, load, speed, sentSinceReport };
    (isSuspectLane(lane, nowMs) ? suspects : candidates).push(candidate);
  }
  return candidates.length > 0 ? candidates : suspects;
}
