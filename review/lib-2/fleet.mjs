// A small fleet for the cases 6 to 10: the project's own program in separate processes, started with the command and the
// settings template of the deploy file, beside small stand-ins of the platform's store, of backends and of clients.
/* global URL, clearTimeout, console, performance, process, setTimeout */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { sendRequest } from './client.mjs';
import { startStore } from './store.mjs';

export { wait };

const root = fileURLToPath(new URL('../..', import.meta.url));
const PORTS = { inbound: 8300, app: 8301, ready: 8302, outbound: 8304, control: 8306, link: 7620, metrics: 9464 };
const READY_TIMEOUT_MS = 15_000;
/** Pause before the platform starts a process again that has ended. */
const RESTART_PAUSE_MS = 300;

/** Bounds of the site `kfte-ops`, as its settings name them. */
const bounds = {
  drain: 2000,
  grace: 6,
  config_apply: 2000,
  budget_ratio: 0.2,
  budget_extra: 48,
  budget_window: 10,
};

/** Fills in a template of the deploy file: values with `|json`, and sections that depend on a value. */
function renderTemplate(template, fields) {
  const read = (path) => path.split('.').reduce((value, key) => value?.[key], fields);
  const withSections = template.replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_text, path, inner) =>
    read(path) === undefined ? '' : inner,
  );
  return withSections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_text, path, json) =>
    json === undefined ? String(read(path) ?? '') : JSON.stringify(read(path)),
  );
}

function readDeployFile() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const readKey = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)?.[1] ?? '';
  return { run: readKey('run').split(' '), template: readFileSync(join(root, readKey('template')), 'utf8') };
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

/** Finds a loopback network in which the addresses of all hosts are free. */
async function findNetwork(hostCount) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    let allFree = true;
    for (let host = 1; host <= hostCount && allFree; host++)
      for (const port of Object.values(PORTS)) allFree &&= await isFree(`${network}.${host}`, port);
    if (allFree) return network;
  }
  throw new Error('found no free loopback addresses');
}

/** Opens the record of a run, `record.txt` beside the script. */
export function openRecord(scriptUrl) {
  const path = join(dirname(fileURLToPath(scriptUrl)), 'record.txt');
  writeFileSync(path, '');
  const startMs = performance.now();
  return (line) => appendFileSync(path, `${((performance.now() - startMs) / 1000).toFixed(3)} ${line}\n`);
}

/**
 * Starts the store and the processes of all hosts. `hosts` names the zone and the service of each, `bounds` those of another
 * site.
 */
export async function startFleet({ hosts, manifest, record, bounds: changedBounds = {} }) {
  const network = await findNetwork(hosts.length);
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const { run, template } = readDeployFile();
  const store = await startStore({ host: `${network}.${hosts.length + 1}`, record });
  const children = new Map();
  const isKept = new Map();
  const ips = new Map(hosts.map(({ name }, index) => [name, `${network}.${index + 1}`]));
  const getAddress = (name, listener) => `${ips.get(name)}:${PORTS[listener]}`;

  const writeSettings = ({ name, zone, service }) => {
    mkdirSync(join(folder, name), { recursive: true });
    const path = join(folder, name, 'local.json');
    const fields = {
      node_name: name,
      dataCenter: zone,
      region: 'r1',
      service,
      ip: ips.get(name),
      app_addr: getAddress(name, 'app'),
      bind_addrs: {
        outbound: getAddress(name, 'outbound'),
        control: getAddress(name, 'control'),
        ready_addr: getAddress(name, 'ready'),
      },
      internal_ports: [PORTS.link, PORTS.link + 15],
      platform: { address: store.address },
      limits: { max_fds: 4100 },
      heartbeat: 1500,
      bounds: { ...bounds, ...changedBounds },
    };
    writeFileSync(path, renderTemplate(template, fields));
    return path;
  };
  const startProcess = (host) => {
    const { name } = host;
    const [command, ...args] = run;
    const child = spawn(command === 'node' ? process.execPath : command, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, HEMLOCKSTACK_BOOT: writeSettings(host) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.set(name, child);
    record(`platform: started ${name}`);
    const log = (chunk) => appendFileSync(join(folder, `${name}.log`), chunk);
    child.stdout.on('data', log);
    child.stderr.on('data', log);
    child.once('exit', (code, signal) => {
      record(`platform: ${name} ended, code ${code}, signal ${signal}`);
      if (!isKept.get(name)) return;
      setTimeout(() => {
        if (isKept.get(name)) startProcess(host);
      }, RESTART_PAUSE_MS);
    });
  };
  const isReady = async (name) => {
    const { status } = await sendRequest({ address: getAddress(name, 'ready'), path: '/v1/ready', timeoutMs: 900 });
    return status === 200;
  };
  const waitUntilReady = async (names) => {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    for (const name of names) {
      while (!(await isReady(name))) {
        if (performance.now() > endMs) throw new Error(`${name} did not become ready`);
        await wait(50);
      }
    }
    record(`platform: ready: ${names.join(', ')}`);
  };
  store.put('keyed.op', 'config', manifest);
  for (const host of hosts) {
    isKept.set(host.name, true);
    startProcess(host);
  }
  return {
    folder,
    store,
    ips,
    getAddress,
    isReady,
    waitUntilReady: (names = hosts.map(({ name }) => name)) => waitUntilReady(names),
    readLog: (name) => readFileSync(join(folder, `${name}.log`), 'utf8'),
    signal: (name, signal) => {
      record(`platform: ${signal} to ${name}`);
      children.get(name)?.kill(signal);
    },
    stop: async () => {
      for (const [name, child] of children) {
        isKept.set(name, false);
        if (child.exitCode === null && child.signalCode === null) {
          const ended = new Promise((resolve) => child.once('exit', resolve));
          child.kill('SIGKILL');
          await ended;
        }
      }
      await store.stop();
      if (process.env.KEEP === undefined) rmSync(folder, { recursive: true, force: true });
      else record(`kept ${folder}`);
    },
  };
}

/** A manifest with the given routes, as `deploy/wire.toml` spells it. */
export function buildManifest(routes) {
  return {
    version: 3,
    routes: routes.map((route) => ({
      host: 'shop.example',
      pathPrefix: `/${route.name}/`,
      kind: 'idempotent',
      priority: 1,
      targetLatencyMs: 1200,
      timeoutMs: 5000,
      maxAttempts: 2,
      ...route,
    })),
    services: [],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  };
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
export async function runCase(scriptUrl, play) {
  const record = openRecord(scriptUrl);
  const hasTrouble = process.env.TROUBLE !== '0';
  record(`case: with${hasTrouble ? '' : 'out'} the disruption`);
  const cleanups = [];
  let code = 2;
  const guard = setTimeout(() => {
    record('case: took longer than 115 s');
    void finish();
  }, 115_000);
  const finish = async () => {
    clearTimeout(guard);
    for (const cleanup of cleanups.reverse()) await cleanup();
    process.exit(code);
  };
  try {
    const broken = await play({ record, hasTrouble, onEnd: (cleanup) => cleanups.push(cleanup) });
    code = broken.length > 0 ? 1 : 0;
    for (const line of broken.slice(0, 20)) record(`BROKEN: ${line}`);
    const verdict = broken.length > 0 ? `broken ${broken.length} time(s)` : 'kept';
    record(`case: rule ${verdict}`);
    console.log(`rule ${verdict}`);
  } catch (error) {
    record(`case: could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  await finish();
}
