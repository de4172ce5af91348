// A node is killed and started again while orders that it passed on are still at work at their backends.
import { Buffer } from 'node:buffer';
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { buildRoute, findMixed, startFleet } from '../lib/fleet.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Exit code of this program if the rule was broken; `run.sh` turns it into 1. */
const BROKEN = 3;
const RECORD = fileURLToPath(new URL('record.txt', import.meta.url));
const ORDER_INTERVAL_MS = 60;
const TRAFFIC_MS = 8000;
const KILL_AT_MS = 1000;
const RESTART_AFTER_MS = 300;

/** Orders take between 1.5 and 4 s, as at a service with long work; their time limit is 5 s. */
const planOrder = ({ requestId }) => ({ workMs: 1500 + ((Number(requestId.split('-')[1]) * 700) % 2500) });

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
const sent = [];
let isRestarted = false;
const trouble = (async () => {
  if (!hasTrouble) return;
  await wait(KILL_AT_MS);
  await fleet.killNode('entry-a', RESTART_AFTER_MS);
  isRestarted = await fleet.waitUntilReady('entry-a');
})();
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

const broken = findMixed(outcomes, answers);
const served = outcomes.filter(({ status }) => status === 200).length;
const text = [
  `orders sent ${outcomes.length}, answered 200: ${served}, runs ${runs.length}, node killed: ${hasTrouble}`,
  `MIXED broken ${broken.length} times`,
  ...broken.map((line) => `  ${line}`),
  'outcomes at the clients (ms since the start of traffic):',
  ...outcomes.map(
    ({ requestId, sentAtMs, endedAtMs, status, fault, text: body }) =>
      `  ${requestId} sent ${sentAtMs - startMs} ended ${endedAtMs - startMs} status ${status} ${fault ?? ''} ${(body ?? '').trim()}`,
  ),
  'runs at the backends:',
  ...runs.map(({ requestId, backend, atMs }) => `  ${requestId} at ${backend}, ${atMs - startMs}`),
];
writeFileSync(RECORD, `${text.join('\n')}\n`);
const couldRun = served > 0 && (!hasTrouble || isRestarted);
process.exit(broken.length > 0 ? BROKEN : couldRun ? 0 : 2);
