// A backend leaves before its first check-in has arrived, which comes seconds late.
import { buildManifest, runCase, startFleet, wait } from '../lib-2/fleet.mjs';
import { startBackend } from '../lib-2/backend.mjs';
import { sendRequest } from '../lib-2/client.mjs';

const DRAIN_MS = 2000;
/** A check-in may arrive seconds late. */
const LATE_MS = 3500;
/** The backend leaves before it would send its second check-in. */
const LEAVES_AFTER_MS = 1000;
const hosts = [
  { name: 'a1', zone: 'z1', service: 'stock' },
  { name: 'a2', zone: 'z2', service: 'stock' },
  { name: 'a3', zone: 'z3', service: 'stock' },
  { name: 'a4', zone: 'z1', service: 'orders' },
];

await runCase(import.meta.url, async ({ record, hasTrouble, onEnd }) => {
  const fleet = await startFleet({ hosts, manifest: buildManifest([{ name: 'check', service: 'stock' }]), record });
  onEnd(fleet.stop);
  await fleet.waitUntilReady();
  const start = async ({ name, zone, service }, id, firstCheckInDelayMs = 0) => {
    const address = fleet.getAddress(name, 'app');
    const control = fleet.getAddress(name, 'control');
    const backend = await startBackend({ id, service, zone, address, control, record, firstCheckInDelayMs });
    onEnd(backend.stop);
    return backend;
  };
  const first = [];
  for (const host of hosts) first.push(await start(host, `i-${host.name}`));
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
    record(`client: ${id} answered ${status} ${body}`);
    return status;
  };
  const sendMany = async (count) => {
    const statuses = [];
    for (let index = 0; index < count; index++) {
      statuses.push(await send(hosts[index % hosts.length].name));
      await wait(20);
    }
    return statuses.filter((status) => status === 200).length;
  };
  if ((await sendMany(20)) < 20) throw new Error('a request failed before the disruption');

  // The backends of two machines are replaced: one comes back under a new id, the other one under the id that it had.
  const leaving = [];
  for (const [index, id] of [
    [0, 'i-a1-new'],
    [1, 'i-a2'],
  ]) {
    if ((await first[index].deregister()) === undefined) throw new Error('the first leave was not confirmed');
    await wait(DRAIN_MS + 500);
    await first[index].stop();
    const backend = await start(hosts[index], id, hasTrouble ? LATE_MS : 0);
    await wait(LEAVES_AFTER_MS);
    const confirmedAtMs = await backend.deregister();
    leaving.push({ backend, confirmedAtMs });
    await wait(LATE_MS);
    const served = await sendMany(40);
    record(`${served} of 40 requests are served`);
  }
  return leaving.flatMap(({ backend, confirmedAtMs }) => {
    if (confirmedAtMs === undefined) return [];
    return backend.runs
      .filter(({ atMs }) => atMs > confirmedAtMs + DRAIN_MS)
      .map(
        ({ requestId, atMs }) =>
          `${requestId} ran at ${backend.id} ${Math.round(atMs - confirmedAtMs)} ms after its leave`,
      );
  });
});
