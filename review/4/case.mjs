// The only node of a zone is stopped with SIGTERM and started again, while its clients go on placing orders.
import { Buffer } from 'node:buffer';
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { buildRoute, startFleet } from '../lib/fleet.mjs';
import { names } from '../lib/standins.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Exit code of this program if the rule was broken; `run.sh` turns it into 1. */
const BROKEN = 3;
const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const ORDER_INTERVAL_MS = 100;
const STOP_AT_MS = 4000;
const GRACE_MS = 6000;
const RESTART_AFTER_MS = 300;
const TRAFFIC_MS = 14_000;
/** Requests that were sent up to then after the SIGTERM are excused by the rule. */
const EXCUSED_MS = 3000;
const TIMEOUT_MS = 5000;

/** Orders take between 1 and 2.5 s, as at a service with long work; their time limit is 5 s. */
const planOrder = ({ requestId }) => ({ workMs: 1000 + ((Number(requestId.split('-')[1]) * 400) % 1500) });

const fleet = await startFleet({
  hosts: [
    { name: 'entry-a', zone: 'ch-nord-a', service: 'slots', slots: 127 },
    { name: 'orders-b', zone: 'ch-nord-b', service: 'orders', slots: 127, plan: planOrder },
    { name: 'orders-c', zone: 'ch-nord-c', service: 'orders', slots: 127, plan: planOrder },
  ],
  routes: [
    buildRoute('lookup', 'slots'),
    buildRoute('order', 'orders', { kind: 'nonIdempotent', priority: 2, targetLatencyMs: 3000, timeoutMs: TIMEOUT_MS }),
  ],
});
if (fleet === undefined || !fleet.isUp) {
  await fleet?.stop();
  process.exit(2);
}
const startMs = Date.now();
let stoppedAtMs;
let exitedAtMs;
const trouble = (async () => {
  if (!hasTrouble) return;
  await wait(STOP_AT_MS);
  stoppedAtMs = Date.now();
  await fleet.terminateNode('entry-a', GRACE_MS);
  exitedAtMs = Date.now();
  await wait(RESTART_AFTER_MS);
  fleet.startNode('entry-a');
})();
const sent = [];
// The zone has one node. While it is out, fewer than half of the zone's nodes are in, so its clients get new work as before.
for (let index = 0; Date.now() - startMs < TRAFFIC_MS; index++) {
  const requestId = `order-${index}`;
  const body = Buffer.from(`order ${index}: two pallets`);
  sent.push(fleet.send('entry-a', { requestId, method: 'POST', host: 'order.example', path: `/order/${index}`, body }));
  await wait(ORDER_INTERVAL_MS);
}
await trouble;
const outcomes = await Promise.all(sent);
const runs = fleet.listRuns();
const answers = fleet.listAnswers();
await fleet.stop();

const hasRun = new Set(runs.map(({ requestId }) => requestId));
const lost = outcomes.filter(({ requestId, sentAtMs, endedAtMs, status, headers }) => {
  if (stoppedAtMs === undefined || !hasRun.has(requestId)) return false;
  // Every run ends well at the backends, which break nothing off.
  const isComplete = status > 0 && headers[names.seal] !== undefined;
  const isAroundStop = endedAtMs >= stoppedAtMs && sentAtMs <= stoppedAtMs + GRACE_MS + 1000;
  const isExcused = sentAtMs <= stoppedAtMs + EXCUSED_MS || endedAtMs - sentAtMs >= TIMEOUT_MS;
  return !isComplete && isAroundStop && !isExcused;
});
const served = outcomes.filter(({ status }) => status === 200).length;
const text = [
  `orders sent ${outcomes.length}, answered 200: ${served}, runs ${runs.length}, answers of backends ${answers.length}`,
  `SIGTERM at ${(stoppedAtMs ?? NaN) - startMs} ms, exit at ${(exitedAtMs ?? NaN) - startMs} ms`,
  `LOST broken ${lost.length} times (sent later than 3 s after the SIGTERM, passed on, and broken off by the node)`,
  ...lost.map(({ requestId }) => `  ${requestId}`),
  'outcomes at the clients (ms since the start of traffic):',
  ...outcomes.map(
    ({ requestId, sentAtMs, endedAtMs, status, fault, text: body }) =>
      `  ${requestId} sent ${sentAtMs - startMs} ended ${endedAtMs - startMs} status ${status} ${fault ?? ''} ${(body ?? '').trim()}`,
  ),
  'runs at the backends:',
  ...runs.map(({ requestId, backend, atMs }) => `  ${requestId} at ${backend}, ${atMs - startMs}`),
];
if (process.env.LINES) text.push(...fleet.lines);
writeFileSync(RECORD, `${text.join('\n')}\n`);
process.exit(lost.length > 0 ? BROKEN : served > 0 ? 0 : 2);
