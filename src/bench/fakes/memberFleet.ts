import type { Frame } from '../../schema/frame.js';
import type { MemberRecord } from '../../schema/member.js';
import { encodeFrame } from '../../transport/frameCodec.js';
import { createFakeFleet } from './fakeFleet.js';
import type { FakeFleet, FakeFleetOptions, FakeHostOptions } from './fakeFleet.js';

/** Overhead of each message beyond its payload: gRPC prefix (5) and HTTP/2 frame header (9). */
const FRAMING_BYTES = 14;

export interface MemberFleetOptions extends Partial<Omit<FakeFleetOptions, 'hosts' | 'observeFrame'>> {
  nodes: number;
  dataCenters: number;
  regions?: number;
  describeHost?: (index: number) => Partial<FakeHostOptions>;
}

/** A fake fleet that measures its control traffic with the real codec. */
export interface MemberFleet extends FakeFleet {
  /** Control bytes sent and received by each host since `resetTraffic`. */
  readonly bytesByHost: Map<string, number>;
  readonly bytesByType: Map<string, number>;
  resetTraffic(): void;
  /** Lists the hosts whose live members differ from the running hosts of the fleet. */
  listDivergedHosts(): string[];
  /** Advances the clock until no host diverges. Returns the time taken (ms), or undefined after `limitMs`. */
  measureConvergence(limitMs: number): number | undefined;
  /** Lists the hosts whose record of `host` (undefined if they have none) passes a check. */
  listHostsByRecord(host: string, check: (record: MemberRecord | undefined) => boolean): string[];
}

const STEP_MS = 100;

/** Describes hosts that are distributed evenly over data centres, with contiguous groups of data centres per region. */
export function describeMemberHosts(options: MemberFleetOptions): FakeHostOptions[] {
  const { nodes, dataCenters, regions = 1 } = options;
  return Array.from({ length: nodes }, (_, index) => {
    const dataCenter = index % dataCenters;
    const region = Math.floor((dataCenter * regions) / dataCenters);
    return {
      host: `h${index}`,
      dataCenter: `d${String(dataCenter).padStart(2, '0')}`,
      region: `r${region}`,
      ...options.describeHost?.(index),
    };
  });
}

/**
 * Creates a fleet for membership tests.
 *
 * @example
 * const fleet = createMemberFleet({ nodes: 16, dataCenters: 4 });
 * const convergedMs = fleet.measureConvergence(10_000);
 */
export function createMemberFleet(options: MemberFleetOptions): MemberFleet {
  const bytesByHost = new Map<string, number>();
  const bytesByType = new Map<string, number>();
  const encodedSizes = new WeakMap<object, number>();
  const emptyMembersBytes = encodeFrame({ type: 'members', records: [] }).length;
  // A heartbeat or a record is sent to many neighbours; encoding it only once keeps large runs fast.
  const measureOnce = (value: object, measure: () => number): number => {
    let size = encodedSizes.get(value);
    if (size === undefined) encodedSizes.set(value, (size = measure()));
    return size;
  };
  const measureRecord = (record: MemberRecord): number =>
    measureOnce(record, () => encodeFrame({ type: 'members', records: [record] }).length - emptyMembersBytes);
  const measureFrame = (frame: Frame): number =>
    FRAMING_BYTES +
    (frame.type === 'members'
      ? frame.records.reduce((sum, record) => sum + measureRecord(record), emptyMembersBytes)
      : measureOnce(frame, () => encodeFrame(frame).length));
  const add = (counts: Map<string, number>, key: string, bytes: number): void => {
    counts.set(key, (counts.get(key) ?? 0) + bytes);
  };
  const fleet = createFakeFleet({
    seed: 1,
    documents: [],
    ...options,
    hosts: describeMemberHosts(options),
    observeFrame: (from, to, lane, frame) => {
      if (lane !== 'control') return;
      const bytes = measureFrame(frame);
      add(bytesByHost, from, bytes);
      add(bytesByHost, to, bytes);
      add(bytesByType, frame.type, bytes);
    },
  });
  const isDiverged = (host: string): boolean => {
    const { rings } = fleet.hosts.get(host)?.node.board.read('members') ?? { rings: new Map<string, []>() };
    let known = 0;
    for (const ring of rings.values()) {
      known += ring.length;
      if (ring.some(({ id }) => !fleet.hosts.has(id))) return true;
    }
    return known !== fleet.hosts.size;
  };
  const listDivergedHosts = (): string[] => [...fleet.hosts.keys()].filter(isDiverged);
  return {
    ...fleet,
    bytesByHost,
    bytesByType,
    resetTraffic: () => {
      bytesByHost.clear();
      bytesByType.clear();
    },
    listDivergedHosts,
    measureConvergence: (limitMs) => {
      const startMs = fleet.clock.now();
      while (listDivergedHosts().length > 0) {
        if (fleet.clock.now() - startMs >= limitMs) return undefined;
        fleet.clock.advance(STEP_MS);
      }
      return fleet.clock.now() - startMs;
    },
    listHostsByRecord: (host, check) =>
      [...fleet.hosts]
        .filter(([, { node }]) => check(node.board.read('members').byId.get(host)))
        .map(([observer]) => observer),
  };
}
