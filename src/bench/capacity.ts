import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createMemberTable, putMember } from '../policy/memberMerge.js';
import { computeOverlay } from '../policy/overlay.js';
import type { Frame } from '../schema/frame.js';
import type { MemberRecord } from '../schema/member.js';
import type { BenchReport } from '../schema/benchReport.js';
import { encodeFrame } from '../transport/frameCodec.js';

/** The target size. */
const NODES = 1300;
const SERVICES = 200;
const DATA_CENTERS = 19;
const REGIONS = 5;
const CALLS_PER_SECOND = 280_000;
const DEPTH = 21;
const CHANGES_PER_DAY = 1700;
const HOSTS_CHANGED_PER_DAY = 8 + 70;
/** Member records published for one replaced host: leaving, draining, start, addresses, target ready. */
const RECORDS_PER_HOST_CHANGE = 5;
const SECONDS_PER_DAY = 86_400;
const EXCHANGE_PERIOD_S = 10;
const LOG_READERS = 2 * DATA_CENTERS;
const TICKET_MIB = 64;
const FRAMING_BYTES = 14;
const SAMPLE_DOCUMENT = 'examples/kaltfracht/scheduling.json';
const OUTPUT_FILE = 'docs/CAPACITY.md';
const MAX_CORE_PERCENT = 1.9;
const MAX_RESIDENT_MB = 256;
const MAX_KB_PER_SECOND = 13;

interface Links {
  mean: number;
  gatewayMax: number;
}

function readReport(name: string): BenchReport | undefined {
  const path = `docs/measurements/${name}.json`;
  return existsSync(path) ? (JSON.parse(readFileSync(path, 'utf8')) as BenchReport) : undefined;
}

function formatMeasured(report: BenchReport | undefined, name: string, unit: string): string {
  const figure = report?.figures.find((candidate) => candidate.name === name);
  return figure === undefined ? 'not measured' : `${formatNumber(figure.value)} ${unit}`;
}

function formatNumber(value: number): string {
  return value >= 100 ? String(Math.round(value)) : String(Number(value.toPrecision(3)));
}

function createRecord(index: number): MemberRecord {
  const dataCenter = index % DATA_CENTERS;
  const address = `10.${dataCenter}.${Math.floor(index / 250)}.${index % 250}`;
  return {
    id: `host-${String(index).padStart(4, '0')}.example`,
    incarnation: 'abcdefghijkl',
    startedAtMs: 1_700_000_000_000 + index,
    version: 4,
    region: `region-${Math.floor((dataCenter * REGIONS) / DATA_CENTERS)}`,
    dataCenter: `dc-${String(dataCenter).padStart(2, '0')}`,
    peerAddress: `${address}:7000`,
    callerAddress: `${address}:7001`,
    operatorAddress: `${address}:7002`,
    service: `service-${index % SERVICES}`,
    targetState: 'ready',
    nodeState: 'alive',
  };
}

/** Computes the number of links per node with the code of the nodes. */
function computeLinks(records: readonly MemberRecord[]): Links {
  const table = createMemberTable();
  for (const record of records) putMember(table, record);
  const overlays = records.map((self) => computeOverlay({ table, self }));
  const total = overlays.reduce((sum, { neighbours }) => sum + neighbours.size, 0);
  const ofGateways = overlays.filter(({ isGateway }) => isGateway).map(({ neighbours }) => neighbours.size);
  return { mean: total / overlays.length, gatewayMax: Math.max(...ofGateways) };
}

function measureBytes(frame: Frame): number {
  return encodeFrame(frame).length + FRAMING_BYTES;
}

function renderPage(): string {
  const records = Array.from({ length: NODES }, (_, index) => createRecord(index));
  const links = computeLinks(records);
  const cost = readReport('control-cost');
  const churn = readReport('churn');
  const recordBytes = measureBytes({ type: 'members', records: records.slice(0, 1) });
  const documentBytes = JSON.stringify(JSON.parse(readFileSync(SAMPLE_DOCUMENT, 'utf8'))).length;
  const ages = Object.fromEntries(Array.from({ length: DATA_CENTERS }, (_, index) => [`dc-${index}`, 12]));
  const heartbeatBytes = measureBytes({ type: 'heartbeat', version: 4 });
  const gatewayHeartbeatBytes = measureBytes({ type: 'heartbeat', version: 4, ages });
  const digests = Object.fromEntries(Array.from({ length: DATA_CENTERS }, (_, index) => [`dc-${index}`, 'abcdefg']));
  const digestBytes = measureBytes({ type: 'digest', members: digests, configuration: 'abcdefg' });
  // Each message counts at both ends, since the bound does not state whether it means bytes sent or received.
  const computeSteady = (count: number, bytes: number): number =>
    (2 * (count * bytes + (2 * digestBytes) / EXCHANGE_PERIOD_S)) / 1000;
  const computeMemberUpdates = (count: number): number =>
    (2 * count * HOSTS_CHANGED_PER_DAY * RECORDS_PER_HOST_CHANGE * recordBytes) / SECONDS_PER_DAY / 1000;
  const computeDocuments = (count: number): number =>
    (2 * count * CHANGES_PER_DAY * (documentBytes + 100)) / SECONDS_PER_DAY / 1000;
  const computeSum = (count: number, bytes: number): string =>
    `${formatNumber(computeSteady(count, bytes))} + ${formatNumber(computeMemberUpdates(count))} + ${formatNumber(computeDocuments(count))} = ${formatNumber(computeSteady(count, bytes) + computeMemberUpdates(count) + computeDocuments(count))} KB/s`;
  const readEstimate = (label: string, kind: string, line: string): number | undefined =>
    cost?.figures.find(({ name }) => name === `${label} at ${NODES} nodes by ${line}, ${kind}`)?.value;
  const renderRow = (label: string, kind: string, bound: number, unit: string, mechanism: string): string => {
    const [linear, byLinks] = [readEstimate(label, kind, 'slope'), readEstimate(label, kind, 'links')];
    if (linear === undefined || byLinks === undefined)
      return `| ${label}, ${kind} node | - | - | ${bound} ${unit} | not measured | ${mechanism} |`;
    const verdict =
      linear <= bound ? 'fits' : byLinks <= bound ? '**fits only if it grows as links do**' : '**does not fit yet**';
    return `| ${label}, ${kind} node | ${formatNumber(linear)} ${unit} | ${formatNumber(byLinks)} ${unit} | ${bound} ${unit} | ${verdict} | ${mechanism} |`;
  };
  return `# Capacity

Written by \`npm run capacity\` from the reports under \`docs/measurements/\` and from the code that the nodes run; edit
\`src/bench/capacity.ts\` and not this page. Size: ${NODES} nodes, ${SERVICES} services, ${CALLS_PER_SECOND.toLocaleString('en')} calls/s up to ${DEPTH} deep,
${DATA_CENTERS} data centres in ${REGIONS} regions, ${CHANGES_PER_DAY.toLocaleString('en')} changes a day, 8 hosts lost and 70 replaced a day.

## Control work against its bounds

From \`docs/measurements/control-cost.json\` (${cost === undefined ? 'missing' : 'real processes on a shared machine, no load'}): lines
through the measured sizes (10 to 80 nodes), continued to ${NODES}: over the number of nodes, and over its logarithm, as the
number of links grows. No estimate is below the largest size that was measured. The report holds slopes and residuals.
The machine was shared with other runs: differences between the sizes below 0.3% of a core are noise. The log held no
documents, so propagating them is in the computed table only.

| figure | over nodes | over links | bound | verdict | mechanism |
| --- | --- | --- | --- | --- | --- |
${renderRow('processor of a node', 'mean', MAX_CORE_PERCENT, '% of a core', 'heartbeats on links only')}
${renderRow('processor of a node', 'highest', MAX_CORE_PERCENT, '% of a core', 'two gateways per data centre')}
${renderRow('resident memory', 'mean', MAX_RESIDENT_MB, 'MB', 'one record per node, bounded rings')}
${renderRow('resident memory', 'highest', MAX_RESIDENT_MB, 'MB', 'one record per node, bounded rings')}
${renderRow('control bytes', 'mean', MAX_KB_PER_SECOND, 'KB/s', 'log2 n links, digests')}
${renderRow('control bytes', 'highest', MAX_KB_PER_SECOND, 'KB/s', 'gateway links at distances 1, 2, 4, 8')}

## Messages, computed

Sizes are of the real codec with framing (gRPC and HTTP/2, without TLS, TCP and IP): record ${recordBytes} B, heartbeat
${heartbeatBytes} B, heartbeat between gateways ${gatewayHeartbeatBytes} B, digest ${digestBytes} B, sample document ${documentBytes} B. Bytes count sent and received.

| role | links | steady + member updates + documents |
| --- | --- | --- |
| node, not a gateway | ${formatNumber(links.mean)} on average | ${computeSum(links.mean, heartbeatBytes)} |
| gateway | ${links.gatewayMax} at most | ${computeSum(links.gatewayMax, gatewayHeartbeatBytes)} |

Member updates: ${HOSTS_CHANGED_PER_DAY} hosts a day with ${RECORDS_PER_HOST_CHANGE} records each, sent along every link at most once in each direction. Documents
likewise, when they are propagated along the links.

## Roles

| role | state | messages | processor | memory | mechanism |
| --- | --- | --- | --- | --- | --- |
| node as entry | ${NODES} records of ${recordBytes} B (${formatNumber((NODES * recordBytes) / 1000)} KB), ${SERVICES} documents (${formatNumber((SERVICES * documentBytes) / 1000)} KB of JSON), fractions and budgets per called service | ${formatNumber(CALLS_PER_SECOND / NODES)} calls/s a node in all roles | not measured here: \`added-latency\` | in the table above | two random targets of the local data centre |
| node beside a target | queue of 512 calls, ring of 4,096 samples, 8,192 events | one announcement a second | not measured here: \`added-latency\` | in the table above | own-time limit, one tick per 100 ms |
| ticket home | 65,536 tickets or ${TICKET_MIB} MiB for 10 min | one extra hop per forwarded request | not measured here | up to ${TICKET_MIB} MiB more; **not in the measured memory** | the issuing process alone decides |
| gateway | as a node; last-received times of ${DATA_CENTERS - 1} data centres | ${links.gatewayMax} links, see above | highest row above | highest row above | first two nodes by hash, paired by index |
| allocator of quotas | one loan a host of its pool (at most 128), one bucket an organisation | 14.6 asks and grants a second for each host of the pool (61 hosts, 72 organisations, 379 requests/s: \`tests/quotas\`) | not measured | not measured | one allocator a pool; above 128 hosts one a data centre |
| log reader | offset and fold of the log | ${LOG_READERS} long polls when only gateways read; ${formatNumber(CHANGES_PER_DAY / SECONDS_PER_DAY)} records/s on average | not measured separately | in the table above | two readers per data centre |

## Changes and failures

From \`docs/measurements/churn.json\` (${churn === undefined ? 'missing' : 'fake clock, 190 nodes in 19 data centres: a smaller fleet than the target size'}). The worst second is of the busiest node.

| phase | converged after | mean bytes | worst second | calls lost |
| --- | --- | --- | --- | --- |
${['start of the whole fleet', 'compressed day', 'rack lost', 'data centre lost', 'regions parted', 'regions joined']
  .map(
    (phase) =>
      `| ${phase} | ${formatMeasured(churn, `${phase}: time to converge`, 's')} | ${formatMeasured(churn, `${phase}: control bytes of a node, mean`, 'KB/s')} | ${formatMeasured(churn, `${phase}: control bytes of a node in the worst second`, 'KB/s')} | ${formatMeasured(churn, `${phase}: calls lost`, '')} |`,
  )
  .join('\n')}

## What does not fit or is not known yet

- Rows above marked "does not fit yet" or "not measured".
- A start of the whole fleet sends each of ${NODES} new records along every link: some ${formatNumber((NODES * recordBytes * links.mean) / 1e6)} MB sent by each node within
  seconds, far above 13 KB/s for that time. A trial with ${NODES} nodes on the fake clock converged in 8.6 s.
- The processor time of quotas and of pipelined requests at an entry node; no sweep of fleet sizes was made since they are in.
- The processor time of calls at 215 calls/s a node is the subject of \`added-latency\`.
`;
}

writeFileSync(OUTPUT_FILE, renderPage());
console.log(`wrote ${OUTPUT_FILE}`);
