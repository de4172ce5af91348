import { computeNodeHealth } from '../policy/failureDetector.js';
import type { WatcherReport } from '../policy/failureDetector.js';
import { selectWatchers } from '../policy/overlay.js';
import type { Frame, SuspicionFrame } from '../schema/frame.js';
import type { ControllerContext } from './context.js';

export interface MemberWatch {
  /** Checks the health of all watched nodes. */
  check(): void;
  /** Records the report of another watcher, and responds with the report of this node. */
  receiveSuspicion(watcher: string, frame: SuspicionFrame, respond: (frame: Frame) => void): void;
}

/** Creates the failure detection for the successors on the ring; `markDown` is called for a node that is down. */
export function createMemberWatch(context: ControllerContext, markDown: (host: string) => void): MemberWatch {
  const { board, clock, io, settings } = context;
  const members = board.read('members');
  const links = board.read('links');
  /** Latest reports of other watchers, by watched node and watcher. */
  const reports = new Map<string, Map<string, WatcherReport>>();

  const checkHost = (host: string): void => {
    const link = links.neighbours.get(host);
    if (link === undefined) return;
    const nowMs = clock.now();
    const health = computeNodeHealth({
      nowMs,
      lastReceivedMs: link.lastReceivedMs,
      reports: reports.get(host) ?? new Map(),
    });
    if (health !== 'suspect') reports.delete(host);
    if (health === 'down') markDown(host);
  };
  const sendSuspicion = (host: string): void => {
    const record = members.byId.get(host);
    const link = links.neighbours.get(host);
    if (record === undefined || link === undefined || record.nodeState === 'down') return;
    const frame: SuspicionFrame = {
      type: 'suspicion',
      host,
      silentMs: clock.now() - link.lastReceivedMs,
      isReply: false,
    };
    for (const watcher of selectWatchers(members, record))
      if (watcher !== settings.host) io.sendFrame(watcher, 'control', frame);
  };
  return {
    check: () => {
      for (const host of links.watched) {
        checkHost(host);
        if (isUnresponsive(host)) sendSuspicion(host);
      }
      for (const host of reports.keys()) if (!links.watched.has(host)) reports.delete(host);
    },
    receiveSuspicion: (watcher, { host, silentMs, isReply }, respond) => {
      const link = links.neighbours.get(host);
      if (link === undefined || !links.watched.has(host)) {
        const record = members.byId.get(host);
        if (!isReply && record?.nodeState === 'down') respond({ type: 'members', records: [record] });
        return;
      }
      let hostReports = reports.get(host);
      if (hostReports === undefined) reports.set(host, (hostReports = new Map<string, WatcherReport>()));
      hostReports.set(watcher, { silentMs, atMs: clock.now() });
      if (!isReply && (link.hasReceived || isUnresponsive(host)))
        respond({ type: 'suspicion', host, silentMs: clock.now() - link.lastReceivedMs, isReply: true });
      checkHost(host);
    },
  };

  function isUnresponsive(host: string): boolean {
    const link = links.neighbours.get(host);
    return link !== undefined && computeNodeHealth({ nowMs: clock.now(), ...link, reports: new Map() }) !== 'alive';
  }
}
