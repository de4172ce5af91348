// A request crashes each backend that begins to run it, and comes again with the same path, caller and body.
/* global clearInterval, performance, setInterval, setTimeout */
import { Agent } from 'node:http';
import { buildManifest, runCase, startFleet, wait } from '../lib-2/fleet.mjs';
import { startBackend } from '../lib-2/backend.mjs';
import { sendRequest } from '../lib-2/client.mjs';

const STABLE_WINDOW_MS = 3000;
/** Requests that have crashed three backends may reach backends in this many retries. */
const ALLOWED_RETRIES = 3;
/** A backend that crashed is back after some seconds. */
const BACK_AFTER_MS = 2000;
/** Orders are under way when the request that crashes backends comes. */
const ORDERS = 6;
const ORDER_WORK_MS = 300;
const ORDER_LEAD_MS = 60;
const BURST = 24;
const BURST_INTERVAL_MS = 250;
const RESENDS = 9;
const RESEND_INTERVAL_MS = 4000;
const hosts = [
  { name: 'a1', zone: 'z1', service: 'stock' },
  { name: 'a2', zone: 'z2', service: 'stock' },
  { name: 'a3', zone: 'z3', service: 'stock' },
  { name: 'a4', zone: 'z1', service: 'stock' },
  { name: 'a5', zone: 'z2', service: 'orders' },
  { name: 'a6', zone: 'z3', service: 'orders' },
];

await runCase(import.meta.url, async ({ record, hasTrouble, onEnd }) => {
  const fleet = await startFleet({
    hosts,
    manifest: buildManifest([
      { name: 'check', service: 'stock' },
      { name: 'order', service: 'stock', kind: 'nonIdempotent', timeoutMs: 5000 },
    ]),
    record,
  });
  onEnd(fleet.stop);
  await fleet.waitUntilReady();
  /** Each run of the request that crashes backends. */
  const crashes = [];
  const backends = new Map();
  let isOver = false;
  const start = async ({ name, zone, service }, life) => {
    const id = `i-${name}-${life}`;
    const backend = await startBackend({
      id,
      service,
      zone,
      address: fleet.getAddress(name, 'app'),
      control: fleet.getAddress(name, 'control'),
      record,
      workMs: 20,
      handle: ({ request, run }) => {
        if (request.url.startsWith('/order/')) {
          return wait(ORDER_WORK_MS).then(() => false);
        }
        if (request.url !== '/check/poison') return false;
        crashes.push({ requestId: run.requestId, id, atMs: run.atMs });
        record(`backend ${id}: crashes with ${run.requestId}`);
        backend.stop();
        setTimeout(() => {
          if (!isOver) void start({ name, zone, service }, life + 1);
        }, BACK_AFTER_MS);
        return true;
      },
    });
    backends.set(name, backend);
  };
  onEnd(async () => {
    isOver = true;
    for (const backend of backends.values()) await backend.stop();
  });
  for (const host of hosts) await start(host, 1);
  await wait(5000);
  const agent = new Agent({ keepAlive: true });
  onEnd(() => agent.destroy());
  let sent = 0;
  const send = async (name, path, prefix, method = 'GET') => {
    const id = `${prefix}${++sent}`;
    const headers = { host: 'shop.example', 'x-attempt-id': id, 'x-deadline-remaining-ms': '3000' };
    const result = await sendRequest({ address: fleet.getAddress(name, 'outbound'), method, path, headers, agent });
    return { id, ...result };
  };
  // Usual traffic at all machines, in bursts, each request with a path of its own.
  const statuses = new Map();
  const traffic = setInterval(() => {
    for (let index = 0; index < BURST; index++) {
      const { name } = hosts[index % hosts.length];
      void send(name, `/check/${sent}`, 'c').then(({ status }) =>
        statuses.set(status, (statuses.get(status) ?? 0) + 1),
      );
    }
  }, BURST_INTERVAL_MS);
  onEnd(() => clearInterval(traffic));
  await wait(3000 + BURST_INTERVAL_MS / 2);
  const resends = [];
  const orders = [];
  for (let index = 0; hasTrouble && index < RESENDS; index++) {
    const { name } = hosts[4 + (index % 2)];
    const atMs = performance.now();
    record(`client: sends the crashing request to ${name}`);
    for (let order = 0; order < ORDERS; order++) orders.push(send(hosts[order].name, `/order/${sent}`, 'o', 'POST'));
    await wait(ORDER_LEAD_MS);
    const { id, status, body } = await send(name, '/check/poison', 'p');
    const reached = crashes.filter(({ requestId }) => requestId === id);
    resends.push({ id, atMs, reached: reached.length });
    record(`client: ${id} answered ${status} ${body}; it has reached ${reached.length} backend(s)`);
    await wait(RESEND_INTERVAL_MS - (performance.now() - atMs));
  }
  if (!hasTrouble) await wait(5000);
  clearInterval(traffic);
  await wait(500);
  record(`usual traffic by status: ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(', ')}`);
  const lost = (await Promise.all(orders)).filter(({ status }) => status === 502 || status === 0).length;
  record(`orders: ${orders.length}, of which ${lost} were lost with the backends that ran them`);
  const third = crashes[2];
  if (third === undefined) return [];
  record(`crashes: ${crashes.length}`);
  const late = resends.filter(({ atMs, reached }) => atMs > third.atMs + STABLE_WINDOW_MS && reached > 0);
  return late.length <= ALLOWED_RETRIES
    ? []
    : late.map(({ id, reached }) => `the retry ${id} reached ${reached} backend(s) after it had crashed the third`);
});
