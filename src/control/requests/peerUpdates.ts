import type { LinkFrame, QuotaGrantFrame } from '../../schema/linkFrame.js';
import type { NodeMember } from '../../schema/nodeMember.js';
import { isInOwnDataCenter } from './context.js';
import type { LinkConnection, RequestContext } from './context.js';
import type { ReadView } from '../../core/blackboard.js';
import { isStoreReadByFew } from '../../policy/storeReaders.js';
import type { PeerState } from './sections.js';
import { readReaderPlace } from './storeReading.js';

/** Delay before a node that reads the store pulls a newer configuration from a peer (ms); usually the store is faster. */
const PULL_DELAY_MS = 200;
/** Time for which the member list must differ from that of a peer before this node pulls it (ms). */
const MIN_DIFFERENCE_MS = 2000;
/** Minimum time between two pulls because of different member lists (ms). A pull carries the whole list. */
const MEMBERS_PULL_INTERVAL_MS = 4000;

/** The updates that nodes exchange over links: members, configurations and crash reports. */
export interface PeerUpdates {
  /** Handles a frame with an update or a pull request that was received on `connection`. */
  receive(host: string, frame: LinkFrame, connection: LinkConnection | undefined): void;
  /** Lists the pull requests to send: the peer, and in `what` the kind of data that this node lacks. */
  listPulls(): { host: string; what: 'members' | 'configuration' }[];
}

/** Creates the exchange of updates with peers. */
export function createPeerUpdates({ board, clock, random }: RequestContext): PeerUpdates {
  let behindSinceMs: number | undefined;
  let differsSinceMs: number | undefined;
  let pulledMembersAtMs = -Infinity;

  const respondToPull = (what: 'members' | 'configuration', connection: LinkConnection | undefined): void => {
    const { self, byHost } = board.read('members');
    if (what === 'members') {
      connection?.send({ type: 'members', members: [...byHost.values(), self] as NodeMember[] });
      return;
    }
    const configuration = board.read('routes').table?.configuration;
    if (configuration !== undefined) connection?.send({ type: 'configuration', configuration: configuration as never });
  };
  /** Finds the newest configuration, in the own data centre if a peer there has it. */
  const findPeerWithNewerConfiguration = (): ReadView<PeerState> | undefined => {
    let newest: ReadView<PeerState> | undefined;
    for (const peer of board.read('links').byHost.values()) {
      if (peer.lanes.routine.phase !== 'up') continue;
      const known = newest?.configurationVersion ?? board.read('routes').version;
      const isAsNew = newest !== undefined && peer.configurationVersion === known;
      if (peer.configurationVersion > known || (isAsNew && isInOwnDataCenter(board, peer.host))) newest = peer;
    }
    return newest;
  };
  /**
   * Finds a peer in the own data centre whose member list has differed for some time. Nodes that do not read the store
   * may have missed a record that a reader passed on.
   */
  const findPeerWithOtherMembers = (): ReadView<PeerState> | undefined => {
    const { digest, byHost } = board.read('members');
    const nowMs = clock.now();
    if (!isStoreReadByFew(byHost) || nowMs - pulledMembersAtMs < MEMBERS_PULL_INTERVAL_MS) return undefined;
    const others = [...board.read('links').byHost.values()].filter(
      (peer) =>
        peer.lanes.routine.phase === 'up' &&
        peer.membersDigest !== undefined &&
        peer.membersDigest !== digest &&
        isInOwnDataCenter(board, peer.host),
    );
    if (others.length === 0) differsSinceMs = undefined;
    else differsSinceMs ??= nowMs;
    if (differsSinceMs === undefined || nowMs - differsSinceMs < MIN_DIFFERENCE_MS) return undefined;
    pulledMembersAtMs = nowMs;
    differsSinceMs = undefined;
    return others[Math.floor(random() * others.length)];
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
  const reportBehind = ({ host, configurationVersion }: ReadView<PeerState>): void => {
    const { version } = board.read('routes');
    const behindMs = Math.round(clock.now() - (behindSinceMs ?? clock.now()));
    const inputs = { peer: host, peerVersion: configurationVersion, version, behindMs };
    board.post('decisions', { kind: 'configurationBehind', outcome: 'pulled from a peer', inputs });
  };
  const getPullDelay = (): number => {
    // A new process does not become ready with the older configuration that the store may have.
    const isStarting = board.read('node').phase === 'starting';
    return isStarting || readReaderPlace(board, clock.now()) === undefined ? 0 : PULL_DELAY_MS;
  };
  return {
    receive: (host, frame, connection) => {
      if (frame.type === 'members') {
        const isComplete = frame.isComplete ?? frame.members.length > 1;
        board.post('members', { type: 'apply', members: frame.members, source: host, isComplete });
      } else if (frame.type === 'configuration') {
        board.post('routes', { configuration: frame.configuration, source: host });
      } else if (frame.type === 'crash') {
        board.post('quarantine', { type: 'report', report: frame, source: host });
      } else if (frame.type === 'pull') {
        respondToPull(frame.what, connection);
      } else if (frame.type === 'quotaAsk') {
        const respond = (grant: QuotaGrantFrame): void => connection?.send(grant);
        board.post('quotas', { type: 'ask', host, frame, respond });
      } else if (frame.type === 'quotaGrant') {
        board.post('quotas', { type: 'grant', host, frame });
      }
    },
    listPulls: () => {
      const pulls: ReturnType<PeerUpdates['listPulls']> = [];
      const newer = findPeerWithNewerConfiguration();
      if (newer === undefined) behindSinceMs = undefined;
      else if ((behindSinceMs ??= clock.now()) + getPullDelay() <= clock.now()) {
        reportBehind(newer);
        pulls.push({ host: newer.host, what: 'configuration' });
      }
      const informed = findPeerWithMoreMembers() ?? findPeerWithOtherMembers();
      if (informed !== undefined) pulls.push({ host: informed.host, what: 'members' });
      return pulls;
    },
  };
}
