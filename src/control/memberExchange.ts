import { computeMemberRank } from '../policy/memberMerge.js';
import { selectGateways } from '../policy/overlay.js';
import type { DigestFrame, Frame, PullFrame, VersionsFrame } from '../schema/frame.js';
import type { MemberRecord } from '../schema/member.js';
import type { ControllerContext } from './context.js';
import { sendRecords } from './memberBroadcast.js';
import type { Sections } from './sections.js';

export type Respond = (frame: Frame) => void;

/**
 * Anti-entropy between peers, which repairs lost broadcasts: peers compare a hash per data centre, then the versions of
 * its records, and then send the records that differ.
 */
export interface MemberExchange {
  sendDigest(peer: string): void;
  receiveDigest(frame: DigestFrame, respond: Respond): void;
  receiveVersions(frame: VersionsFrame, respond: Respond): void;
  receivePull(frame: PullFrame, respond: Respond): void;
  /**
   * Sends a joining node the records of its data centre and of the gateways of the others. It receives the remaining
   * records from its neighbours.
   */
  sendWelcome(dataCenter: string, respond: Respond): void;
}

/** Creates the exchange for the given member table; `isJoining` is true while this node fetches its first records. */
export function createMemberExchange(
  { io }: ControllerContext,
  members: Sections['members'],
  isJoining: () => boolean,
): MemberExchange {
  const listRecords = (dataCenter: string): MemberRecord[] =>
    [...members.byId.values()].filter((record) => record.dataCenter === dataCenter);
  const sendPull = (respond: Respond, wanted: Partial<PullFrame>): void => {
    respond({
      type: 'pull',
      dataCenters: [],
      hosts: [],
      configuration: false,
      ...wanted,
      ...(isJoining() ? { isJoining: true } : {}),
    });
  };
  const compareDataCenter = (dataCenter: string, theirs: string | undefined, respond: Respond): void => {
    const own = members.digests.get(dataCenter);
    if (theirs === own?.toString(36)) return;
    const records = listRecords(dataCenter);
    if (own === undefined || records.length === 0) sendPull(respond, { dataCenters: [dataCenter] });
    else if (theirs === undefined) sendRecords(records, respond, { isWelcome: true });
    else {
      const entries = records.map((record): VersionsFrame['entries'][number] => [
        record.id,
        record.startedAtMs,
        computeMemberRank(record),
      ]);
      respond({ type: 'versions', dataCenter, entries });
    }
  };
  return {
    sendDigest: (peer) => {
      const digests = [...members.digests].map(([dataCenter, digest]) => [dataCenter, digest.toString(36)]);
      const frame: DigestFrame = {
        type: 'digest',
        members: Object.fromEntries(digests) as Record<string, string>,
        configuration: '',
      };
      io.sendFrame(peer, 'control', frame);
    },
    receiveDigest: (frame, respond) => {
      for (const dataCenter of new Set([...members.digests.keys(), ...Object.keys(frame.members)]))
        compareDataCenter(dataCenter, frame.members[dataCenter], respond);
    },
    receiveVersions: (frame, respond) => {
      const theirs = new Map(frame.entries.map((entry) => [entry[0], entry]));
      const newer = listRecords(frame.dataCenter).filter((record) => {
        const entry = theirs.get(record.id);
        if (entry === undefined) return record.nodeState !== 'down';
        return (record.startedAtMs - entry[1] || computeMemberRank(record) - entry[2]) > 0;
      });
      sendRecords(newer, respond);
      const older = frame.entries.filter(([id, startedAtMs, rank]) => {
        const record = members.byId.get(id);
        // An odd rank marks a down record, which is not needed for a node that is unknown here.
        if (record === undefined) return rank % 2 === 0;
        return (startedAtMs - record.startedAtMs || rank - computeMemberRank(record)) > 0;
      });
      if (older.length > 0) sendPull(respond, { hosts: older.map(([id]) => id) });
    },
    receivePull: (frame, respond) => {
      const wanted = frame.dataCenters.flatMap(listRecords);
      for (const host of frame.hosts) {
        const record = members.byId.get(host);
        if (record !== undefined) wanted.push(record);
      }
      sendRecords(wanted, respond, frame.isJoining === true ? { isWelcome: true } : {});
    },
    sendWelcome: (dataCenter, respond) => {
      const records = listRecords(dataCenter);
      for (const [other, ring] of members.rings) {
        if (other === dataCenter) continue;
        for (const id of selectGateways(ring)) records.push(members.byId.get(id) as MemberRecord);
      }
      sendRecords(records, respond, { isWelcome: true });
    },
  };
}
