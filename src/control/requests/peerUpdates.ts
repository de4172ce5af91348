import type { LinkFrame } from '../../schema/linkFrame.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import type { LinkConnection, RequestContext } from './context.js';
import type { ReadView } from '../../core/blackboard.js';
import type { PeerState } from './sections.js';

/** Delay before a newer configuration is pulled from a peer, so that it usually comes from the store (ms). */
const PULL_DELAY_MS = 200;

/** The updates that nodes exchange over links: members, configurations and crash reports. */
export interface PeerUpdates {
  /** Handles a frame with an update or a pull request that was received on `connection`. */
  receive(host: string, frame: LinkFrame, connection: LinkConnection | undefined): void;
  /** Lists the pull requests to send: the peer, and in `what` the kind of data that this node lacks. */
  listPulls(): { host: string; what: 'members' | 'configuration' }[];
}

/** Creates the exchange of updates with peers. */
export function createPeerUpdates({ board, clock }: RequestContext): PeerUpdates {
  let behindSinceMs: number | undefined;

  const respondToPull = (what: 'members' | 'configuration', connection: LinkConnection | undefined): void => {
    const { self, byHost } = board.read('members');
    if (what === 'members') {
      connection?.send({ type: 'members', members: [...byHost.values(), self] as NodeMember[] });
      return;
    }
    const configuration = board.read('routes').table?.configuration;
    if (configuration !== undefined) connection?.send({ type: 'configuration', configuration: configuration as never });
  };
  const findPeerWithNewerConfiguration = (): ReadView<PeerState> | undefined => {
    let newest: ReadView<PeerState> | undefined;
    for (const peer of board.read('links').byHost.values()) {
      if (peer.lanes.routine.phase !== 'up') continue;
      if (peer.configurationVersion > (newest?.configurationVersion ?? board.read('routes').version)) newest = peer;
    }
    return newest;
  };
  const findPeerWithMoreMembers = (): ReadView<PeerState> | undefined => {
    const { isComplete, storeReadAtMs, byHost } = board.read('members');
    if (isComplete && storeReadAtMs !== undefined) return undefined;
    for (const peer of board.read('links').byHost.values()) {
      const hasMore = !isComplete || peer.memberCount > byHost.size + 1;
      if (peer.lanes.routine.phase === 'up' && hasMore) return peer;
    }
    return undefined;
  };
  return {
    receive: (host, frame, connection) => {
      if (frame.type === 'members') {
        const isComplete = frame.members.length > 1;
        board.post('members', { type: 'apply', members: frame.members, source: host, isComplete });
      } else if (frame.type === 'configuration') {
        board.post('routes', { configuration: frame.configuration, source: host });
      } else if (frame.type === 'crash') {
        const { reportId, fingerprints } = frame;
        board.post('quarantine', { type: 'report', reportId, fingerprints, source: host });
      } else if (frame.type === 'pull') {
        respondToPull(frame.what, connection);
      }
    },
    listPulls: () => {
      const pulls: ReturnType<PeerUpdates['listPulls']> = [];
      const newer = findPeerWithNewerConfiguration();
      if (newer === undefined) behindSinceMs = undefined;
      else if ((behindSinceMs ??= clock.now()) + PULL_DELAY_MS <= clock.now())
        pulls.push({ host: newer.host, what: 'configuration' });
      const informed = findPeerWithMoreMembers();
      if (informed !== undefined) pulls.push({ host: informed.host, what: 'members' });
      return pulls;
    },
  };
}
