// The leave of a backend is confirmed while the store is down; then all processes of the system are killed at once.
import { buildManifest, runCase, startFleet, wait } from '../lib-2/fleet.mjs';
import { startBackend } from '../lib-2/backend.mjs';
import { sendRequest } from '../lib-2/client.mjs';

const DRAIN_MS = 2000;
const STABLE_WINDOW_MS = 3000;
/** The store is down for less than the 4.5 s that the site file names. */
const DOWN_BEFORE_KILL_MS = 400;
const DOWN_AFTER_KILL_MS = 1500;
const hosts = [
  { name: 'a1', zone: 'z1', service: 'orders' },
  { name: 'a2', zone: 'z2', service: 'stock' },
  { name: 'a3', zone: 'z3', service: 'stock' },
  { name: 'a4', zone: 'z1', service: 'orders' },
];

await runCase(import.meta.url, async ({ record, hasTrouble, onEnd }) => {
  const fleet = await startFleet({ hosts, manifest: buildManifest([{ name: 'check', service: 'stock' }]), record });
  onEnd(fleet.stop);
  await fleet.waitUntilReady();
  const backends = new Map();
  for (const { name, zone, service } of hosts) {
    const address = fleet.getAddress(name, 'app');
    const control = fleet.getAddress(name, 'control');
    const backend = await startBackend({ id: `i-${name}`, service, zone, address, control, record });
    backends.set(name, backend);
    onEnd(backend.stop);
  }
  await wait(5000);
  let sent = 0;
  const send = async (name) => {
    const id = `c${++sent}`;
    record(`client: sends ${id} to ${name}`);
    const headers = { host: 'shop.example', 'x-attempt-id': id, 'x-deadline-remaining-ms': '5000' };
    const { status, body } = await sendRequest({
      address: fleet.getAddress(name, 'outbound'),
      path: '/check/1',
      headers,
    });
    record(`client: ${id} answered ${status} ${body.slice(0, 40)}`);
    return status;
  };
  const sendMany = async (count) => {
    const statuses = [];
    for (let index = 0; index < count; index++) statuses.push(await send(hosts[index % hosts.length].name));
    return statuses.filter((status) => status === 200).length;
  };
  if ((await sendMany(20)) < 15) throw new Error('the fleet serves too few requests before the disruption');

  const leaving = backends.get('a2');
  if (hasTrouble) {
    fleet.store.setDown(true);
    await wait(300);
  }
  const confirmedAtMs = await leaving.deregister();
  if (confirmedAtMs === undefined) {
    record('the leave was not confirmed, so nothing is promised');
    return [];
  }
  if (hasTrouble) {
    await wait(DOWN_BEFORE_KILL_MS);
    for (const { name } of hosts) fleet.signal(name, 'SIGKILL');
    await wait(DOWN_AFTER_KILL_MS);
    fleet.store.setDown(false);
  }
  await fleet.waitUntilReady(['a1', 'a3', 'a4']);
  await wait(STABLE_WINDOW_MS + 500);
  record('all machines are in touch');
  const served = await sendMany(40);
  record(`${served} of 40 requests are served`);
  return leaving.runs
    .filter(({ atMs }) => atMs > confirmedAtMs + DRAIN_MS)
    .map(({ requestId, atMs }) => `${requestId} ran ${Math.round(atMs - confirmedAtMs)} ms after the confirmed leave`);
});
