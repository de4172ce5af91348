import { DATA_CENTER_UNREACHABLE_AFTER_MS } from '../policy/failureDetector.js';
import { selectGateways } from '../policy/overlay.js';
import type { SilenceFrame } from '../schema/frame.js';
import type { ControllerContext } from './context.js';
import type { Sections } from './sections.js';

/** When regions meet, data centres are heard one after the other: one report has to tell of all. */
const REPORT_PAUSE_MS = 2000;
/** Reports of silence are repeated, for nodes that joined later. */
const REPEAT_PERIOD_MS = 5000;
/** A report that is not repeated for this long is no longer held: its gateway is gone. */
const REPORT_VALID_MS = 15_000;

export interface SilenceReports {
  /** Reports the data centres that this node, when it is a gateway, hears nothing of. */
  check(): void;
  receiveSilence(frame: SilenceFrame, from: string): void;
}

/**
 * Creates the reports of silent data centres. They stay within the own data centre: in member records, each loss of a
 * region would change the records of all gateways and send them to every node.
 */
export function createSilenceReports(
  { board, clock, settings }: ControllerContext,
  members: Sections['members'],
): SilenceReports {
  const links = board.read('links');
  const reports = new Map<string, { dataCenters: readonly string[]; atMs: number }>();
  let reported = '';
  let nextReportMs = 0;
  let repeatMs = Infinity;
  let reportsMade = 0;

  const listSilent = (): string[] =>
    [...(links.isGateway ? members.rings.keys() : [])]
      .filter((dataCenter) => {
        const heardMs = links.heardDataCenters.get(dataCenter);
        return heardMs !== undefined && clock.now() - heardMs > DATA_CENTER_UNREACHABLE_AFTER_MS;
      })
      .sort();
  const updateSilent = (): void => {
    const gateways = selectGateways(members.rings.get(settings.dataCenter) ?? []);
    const [first, ...others] = gateways.map((id) => reports.get(id)?.dataCenters ?? []);
    members.silentDataCenters.clear();
    for (const dataCenter of first ?? [])
      if (others.every((list) => list.includes(dataCenter))) members.silentDataCenters.add(dataCenter);
  };
  const spreadReport = (dataCenters: string[]): void => {
    const newsId = `silence ${members.self.id} ${members.self.incarnation} ${reportsMade++}`;
    const frame: SilenceFrame = { type: 'silence', newsId, host: members.self.id, dataCenters };
    board.post('links', { type: 'spread', frame, newsId, withinDataCenter: true });
    reports.set(members.self.id, { dataCenters, atMs: clock.now() });
    nextReportMs = clock.now() + REPORT_PAUSE_MS;
    repeatMs = dataCenters.length > 0 ? clock.now() + REPEAT_PERIOD_MS : Infinity;
    reported = dataCenters.join(' ');
  };
  return {
    check: () => {
      const nowMs = clock.now();
      for (const [host, { atMs }] of reports) if (nowMs - atMs > REPORT_VALID_MS) reports.delete(host);
      const silent = listSilent();
      if ((silent.join(' ') !== reported && nowMs >= nextReportMs) || nowMs >= repeatMs) spreadReport(silent);
      updateSilent();
    },
    receiveSilence: (frame, from) => {
      if (frame.host === members.self.id) return;
      reports.set(frame.host, { dataCenters: frame.dataCenters, atMs: clock.now() });
      board.post('links', { type: 'spread', frame, newsId: frame.newsId, from, withinDataCenter: true });
      updateSilent();
    },
  };
}
