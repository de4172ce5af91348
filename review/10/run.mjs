// A backend leaves, and a request that it is still running then loses its answer more than `drain` later.
import { Agent } from 'node:http';
import { buildManifest, runCase, startFleet, wait } from '../lib-2/fleet.mjs';
import { startBackend } from '../lib-2/backend.mjs';
import { sendRequest } from '../lib-2/client.mjs';

/** Bounds of the site `tvh-mesh-grown`. */
const bounds = { drain: 2500, grace: 6, config_apply: 2500, budget_extra: 93 };
/** `trace-search` of that site works 0.88 s on average and up to 5.3 s; its time limit is 12 s, the timeout of its route 6 s. */
const LONG_WORK_MS = 3400;
const TIME_LIMIT_MS = 12_000;
const ROUTE_TIMEOUT_MS = 6000;
const hosts = [
  { name: 'a1', zone: 'z1', service: 'issuedesk' },
  { name: 'a2', zone: 'z2', service: 'tracefinder' },
  { name: 'a3', zone: 'z3', service: 'issuedesk' },
];

await runCase(import.meta.url, async ({ record, hasTrouble, onEnd }) => {
  const manifest = buildManifest([
    { name: 'trace', service: 'tracefinder', timeoutMs: ROUTE_TIMEOUT_MS, targetLatencyMs: 6000 },
  ]);
  const fleet = await startFleet({ hosts, manifest, record, bounds });
  onEnd(fleet.stop);
  await fleet.waitUntilReady();
  const backends = new Map();
  /** The answer of one of the 48 requests is lost. */
  let hasLost = false;
  for (const { name, zone, service } of hosts) {
    const backend = await startBackend({
      id: `i-${name}`,
      service,
      zone,
      address: fleet.getAddress(name, 'app'),
      control: fleet.getAddress(name, 'control'),
      record,
      handle: async ({ request, run }) => {
        if (!request.url.startsWith('/trace/long')) return false;
        await wait(LONG_WORK_MS);
        if (!hasTrouble || hasLost) return false;
        hasLost = true;
        record(`backend i-${name}: loses the answer to ${run.requestId}`);
        request.socket.destroy();
        return true;
      },
    });
    backends.set(name, backend);
    onEnd(backend.stop);
  }
  await wait(5000);
  const agent = new Agent({ keepAlive: true });
  onEnd(() => agent.destroy());
  let sent = 0;
  const send = async (path) => {
    const id = `c${++sent}`;
    record(`client: sends ${id} to a1`);
    const headers = { host: 'shop.example', 'x-attempt-id': id, 'x-deadline-remaining-ms': String(TIME_LIMIT_MS) };
    const address = fleet.getAddress('a1', 'outbound');
    const { status, body } = await sendRequest({ address, path, headers, agent });
    record(`client: ${id} answered ${status} ${body.slice(0, 40)}`);
    return status;
  };
  // Usual traffic, which leaves connections to the backend open.
  for (let round = 0; round < 5; round++) {
    const statuses = await Promise.all(Array.from({ length: 8 }, () => send('/trace/1')));
    if (statuses.some((status) => status !== 200)) throw new Error('a request failed before the disruption');
  }
  const long = Array.from({ length: 8 }, () => send('/trace/long'));
  await wait(300);
  const leaving = backends.get('a2');
  const confirmedAtMs = await leaving.drain();
  if (confirmedAtMs === undefined) throw new Error('the leave was not confirmed');
  await Promise.all(long);
  await wait(500);
  return leaving.runs
    .filter(({ atMs }) => atMs > confirmedAtMs + bounds.drain)
    .map(
      ({ requestId, atMs }) => `${requestId} reached it ${Math.round(atMs - confirmedAtMs)} ms after the confirmation`,
    );
});
