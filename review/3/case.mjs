// The store loses the answer of a write while a backend leaves, and the node that confirmed the leaving is killed.
import { Buffer } from 'node:buffer';
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { buildRoute, startFleet } from '../lib/fleet.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Exit code of this program if the rule was broken; `run.sh` turns it into 1. */
const BROKEN = 3;
const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const ORDER_INTERVAL_MS = 40;
const TRAFFIC_MS = 16_000;
const LEAVE_AT_MS = 3000;
const LATE_MS = 5500;
const RESTART_AFTER_MS = 300;
/** The backend serves on for that long after the confirmation of its leaving, then it exits. */
const STAY_MS = 10_000;
const DRAIN_MS = 2000;
const STABLE_WINDOW_MS = 3000;

const planOrder = ({ requestId }) => ({ workMs: 60 + ((Number(requestId.split('-')[1]) * 40) % 120) });

const fleet = await startFleet({
  hosts: [
    { name: 'entry-a', zone: 'ch-nord-a', service: 'slots', slots: 127 },
    { name: 'orders-a', zone: 'ch-nord-a', service: 'orders', slots: 127, plan: planOrder },
    { name: 'orders-b', zone: 'ch-nord-b', service: 'orders', slots: 127, plan: planOrder },
  ],
  routes: [
    buildRoute('lookup', 'slots'),
    buildRoute('order', 'orders', { kind: 'nonIdempotent', priority: 2, targetLatencyMs: 3000 }),
  ],
});
if (fleet === undefined || !fleet.isUp) {
  await fleet?.stop();
  process.exit(2);
}
const startMs = Date.now();
const leaving = fleet.backends.get('orders-a');
let confirmedAtMs;
let killedAtMs;
let readyAtMs;
let exitedAtMs;
const plan = (async () => {
  await wait(LEAVE_AT_MS);
  // One of the writes of these seconds: the node's record of the leaving.
  if (hasTrouble) fleet.store.loseWrites(1, LATE_MS);
  confirmedAtMs = await leaving.leave();
  const staying = wait(STAY_MS);
  if (hasTrouble) {
    killedAtMs = Date.now();
    await fleet.killNode('orders-a', RESTART_AFTER_MS);
    await fleet.waitUntilReady('orders-a');
    readyAtMs = Date.now();
  }
  await staying;
  exitedAtMs = Date.now();
  leaving.stop();
})();
const sent = [];
for (let index = 0; Date.now() - startMs < TRAFFIC_MS; index++) {
  const requestId = `order-${index}`;
  const body = Buffer.from(`order ${index}: two pallets`);
  sent.push(fleet.send('entry-a', { requestId, method: 'POST', host: 'order.example', path: `/order/${index}`, body }));
  await wait(ORDER_INTERVAL_MS);
}
await plan;
const outcomes = await Promise.all(sent);
const runs = fleet.listRuns();
await fleet.stop();

// From then on the store and all machines have been without disturbance for `stable_window`.
const inTouchMs = hasTrouble ? Math.max(readyAtMs, killedAtMs + LATE_MS) + STABLE_WINDOW_MS : 0;
const boundMs = Math.max((confirmedAtMs ?? Infinity) + DRAIN_MS, inTouchMs);
const late = leaving.runs.filter(({ atMs }) => atMs > boundMs);
const lateIds = new Set(late.map(({ requestId }) => requestId));
const lost = outcomes.filter(({ requestId, status }) => lateIds.has(requestId) && status !== 200);
const text = [
  `orders sent ${outcomes.length}, answered 200: ${outcomes.filter(({ status }) => status === 200).length}, runs ${runs.length}`,
  `leaving confirmed at ${confirmedAtMs - startMs}, node killed at ${killedAtMs - startMs}, ready again at ${readyAtMs - startMs}, ` +
    `all in touch at ${inTouchMs - startMs}, backend exits at ${exitedAtMs - startMs} ms`,
  `DRAIN broken ${late.length} times: orders that reached the backend later than ${DRAIN_MS} ms after the confirmation`,
  `of these, ${lost.length} ran and were not answered: ${lost.map(({ requestId, status }) => `${requestId} (${status})`).join(', ')}`,
  'runs at the backend that has left (ms since the start of traffic):',
  ...leaving.runs.map(
    ({ requestId, atMs }) => `  ${requestId} ${atMs - startMs}${lateIds.has(requestId) ? ' late' : ''}`,
  ),
  'outcomes at the clients:',
  ...outcomes.map(
    ({ requestId, sentAtMs, endedAtMs, status, fault, text: body }) =>
      `  ${requestId} sent ${sentAtMs - startMs} ended ${endedAtMs - startMs} status ${status} ${fault ?? ''} ${(body ?? '').trim()}`,
  ),
];
if (process.env.LINES) text.push(...fleet.lines);
writeFileSync(RECORD, `${text.join('\n')}\n`);
process.exit(late.length > 0 ? BROKEN : confirmedAtMs !== undefined ? 0 : 2);
