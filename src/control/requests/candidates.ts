import type { TargetCandidate } from '../../policy/targetChoice.js';
import { chooseLane } from './context.js';
import { readOwnLoad } from './ownLoad.js';
import type { RequestBoard } from './sections.js';

/** Lists the nodes whose target can take a request of a service now. */
export function listCandidates(
  board: RequestBoard,
  question: { service: string; priority: number; nowMs: number },
): TargetCandidate[] {
  const { service, priority, nowMs } = question;
  const { self, byHost: members } = board.read('members');
  const candidates: TargetCandidate[] = [];
  const own = readOwnLoad(board, nowMs);
  if (own.phase === 'ready' && own.service === service) {
    const place = { host: self.host, isOwnHost: true, isLocalDataCenter: true, isUntried: false };
    candidates.push({ ...place, load: own, sentSinceReport: 0 });
  }
  for (const peer of board.read('links').byHost.values()) {
    const { host, load, lanes, sentSinceReport, triedTargetId } = peer;
    if (load.service !== service || load.phase !== 'ready') continue;
    if (lanes[chooseLane(peer, priority)].phase !== 'up') continue;
    const isLocalDataCenter = members.get(host)?.dataCenter === self.dataCenter;
    const isUntried = triedTargetId !== load.targetId;
    candidates.push({ host, isOwnHost: false, isLocalDataCenter, isUntried, load, sentSinceReport });
  }
  return candidates;
}
