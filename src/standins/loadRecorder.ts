import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { LoadGroup, LoadInterval, LoadOperation, LoadReport } from './loadSettings.js';

export type RequestResult = 'completed' | 'refused' | 'failed';

/** Counts requests by result and records their durations. */
export interface LoadRecorder {
  /** Records the result of a request. Times are in ms after the start of the run. */
  record(request: SettledRequest): void;
  buildReport(seed: number, durationS: number): LoadReport;
}

export interface SettledRequest {
  operation: LoadOperation;
  offeredAtMs: number;
  settledAtMs: number;
  resends: number;
  result: RequestResult;
}

interface Group {
  service: string;
  priority: string;
  counts: Counts;
  resends: number;
  histogram: Histogram;
}

type Counts = Record<'offered' | RequestResult, number>;

const INTERVAL_MS = 500;
const MAX_DURATION_MS = 120_000;
/** The histogram records integers only, so durations are stored in tenths of a ms. */
const HISTOGRAM_UNITS_PER_MS = 10;

/** Creates the recorder of one run. The report lists the groups in the order of the mix. */
export function createLoadRecorder(mix: readonly LoadOperation[]): LoadRecorder {
  const groups = new Map<string, Group>();
  const intervals: { counts: Counts; completions: number }[] = [];

  const getGroup = ({ service, priority }: LoadOperation): Group => {
    const key = `${service} ${priority}`;
    let group = groups.get(key);
    if (group === undefined) {
      const histogram = build({
        highestTrackableValue: MAX_DURATION_MS * HISTOGRAM_UNITS_PER_MS,
        numberOfSignificantValueDigits: 3,
      });
      group = { service, priority, counts: createCounts(), resends: 0, histogram };
      groups.set(key, group);
    }
    return group;
  };
  const getIntervalAt = (atMs: number): { counts: Counts; completions: number } => {
    const index = Math.floor(atMs / INTERVAL_MS);
    while (intervals.length <= index) intervals.push({ counts: createCounts(), completions: 0 });
    return intervals[index] as { counts: Counts; completions: number };
  };
  for (const operation of mix) getGroup(operation);
  return {
    record: ({ operation, offeredAtMs, settledAtMs, resends, result }) => {
      const group = getGroup(operation);
      const offeredInterval = getIntervalAt(offeredAtMs);
      for (const counts of [group.counts, offeredInterval.counts]) {
        counts.offered++;
        counts[result]++;
      }
      group.resends += resends;
      if (result !== 'completed') return;
      getIntervalAt(settledAtMs).completions++;
      const durationMs = Math.min(MAX_DURATION_MS, settledAtMs - offeredAtMs);
      group.histogram.recordValue(Math.max(1, Math.round(durationMs * HISTOGRAM_UNITS_PER_MS)));
    },
    buildReport: (seed, durationS) => {
      const all = [...groups.values()];
      const total = createCounts();
      for (const { counts } of all) {
        for (const name of Object.keys(total) as (keyof Counts)[]) total[name] += counts[name];
      }
      const resends = all.reduce((sum, group) => sum + group.resends, 0);
      return {
        seed,
        durationS,
        total,
        resendsPerRequest: resends / Math.max(1, total.offered),
        groups: all.map(buildGroup),
        intervals: intervals.map(buildInterval),
      };
    },
  };
}

function buildGroup({ service, priority, counts, resends, histogram }: Group): LoadGroup {
  return {
    service,
    priority,
    ...counts,
    p50Ms: histogram.getValueAtPercentile(50) / HISTOGRAM_UNITS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / HISTOGRAM_UNITS_PER_MS,
    resendsPerRequest: resends / Math.max(1, counts.offered),
  };
}

function buildInterval({ counts, completions }: { counts: Counts; completions: number }, index: number): LoadInterval {
  return { atS: (index * INTERVAL_MS) / 1000, goodputPerSecond: (completions * 1000) / INTERVAL_MS, ...counts };
}

function createCounts(): Counts {
  return { offered: 0, completed: 0, refused: 0, failed: 0 };
}
