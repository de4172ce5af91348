// Starts the project's own node processes with the command of the deploy file, beside stand-ins, on loopback addresses.
import { Buffer } from 'node:buffer';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
import { URL, fileURLToPath } from 'node:url';
import { digest, isFree, names, startBackend, startStore } from './standins.mjs';

const root = fileURLToPath(new URL('../../', import.meta.url));
const PORTS = { request: 8304, control: 8306, ready: 8302, link: 7620, metrics: 9464, backend: 8301, store: 8309 };
const READY_TIMEOUT_MS = 20_000;
const HEARTBEAT_MS = 1500;

/** The words of `run` in the deploy file. */
function readCommand() {
  const [, command = ''] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8')) ?? [];
  return command.split(' ');
}

async function chooseNetwork(hostCount) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const checks = [];
    for (let index = 0; index <= hostCount; index++)
      for (const port of Object.values(PORTS)) checks.push(isFree(`${network}.${index + 1}`, port));
    if ((await Promise.all(checks)).every(Boolean)) return network;
  }
  return undefined;
}

/**
 * Starts a small deployment: one node and one backend a host.
 *
 * @param options.hosts `[{ name, zone, service, slots, plan }]`
 * @param options.routes Routes of the manifest.
 */
export async function startFleet({ hosts, routes }) {
  const folder = mkdtempSync(join(tmpdir(), 'hemlock-review-'));
  const network = await chooseNetwork(hosts.length);
  if (network === undefined) return undefined;
  const addresses = new Map(hosts.map(({ name }, index) => [name, `${network}.${index + 2}`]));
  const store = await startStore(`${network}.1`, PORTS.store);
  const children = new Map();
  const backends = new Map();
  const lines = [];
  let isStopped = false;

  // Whatever ends this program, no node outlives it.
  const endNodes = () => {
    for (const child of children.values()) child.kill('SIGKILL');
  };
  process.once('exit', endNodes);
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2));

  const writeSettings = (name) => {
    const { zone, service } = hosts.find((host) => host.name === name);
    const ip = addresses.get(name);
    const path = join(folder, `${name}.json`);
    // The fields of deploy/settings.json, with the bounds of the users' smallest sites.
    const settings = {
      host: name,
      dataCenter: zone,
      region: 'ch-nord',
      service,
      requestListen: `${ip}:${PORTS.request}`,
      targetListen: `${ip}:${PORTS.control}`,
      readyListen: `${ip}:${PORTS.ready}`,
      linkListen: `${ip}:${PORTS.link}`,
      metricsListen: `${ip}:${PORTS.metrics}`,
      storeAddress: `${network}.1:${PORTS.store}`,
      maxDescriptors: 4100,
      heartbeatMs: HEARTBEAT_MS,
      bounds: {
        drainMs: 2000,
        graceSeconds: 6,
        configurationApplyMs: 2000,
        retryRatio: 0.2,
        retryExtra: 48,
        retryWindowSeconds: 10,
      },
    };
    writeFileSync(path, JSON.stringify(settings));
    return path;
  };
  const isReady = (name) =>
    new Promise((resolve) => {
      const message = http.get({ host: addresses.get(name), port: PORTS.ready, path: '/v1/ready', timeout: 500 });
      message.on('response', (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      message.on('timeout', () => message.destroy());
      message.on('error', () => resolve(false));
    });
  const waitUntilReady = async (name) => {
    const endMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < endMs) {
      if (await isReady(name)) return true;
      await wait(20);
    }
    return false;
  };
  const startNode = (name) => {
    const [program, ...words] = readCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: root,
      env: { PATH, HOME, LANG, HEMLOCKSTACK_BOOT: writeSettings(name) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.on('data', (chunk) => lines.push(`${name}: ${chunk.toString().trimEnd()}`));
    child.stderr.on('data', (chunk) => lines.push(`${name} (err): ${chunk.toString().trimEnd()}`));
    children.set(name, child);
  };
  const signalNode = (name, signal) => {
    const child = children.get(name);
    if (child !== undefined && child.exitCode === null && child.signalCode === null) child.kill(signal);
  };
  /** Kills a node; the platform starts it again after a short delay. */
  const killNode = async (name, restartAfterMs) => {
    const child = children.get(name);
    const ended = new Promise((resolve) => child.once('exit', resolve));
    signalNode(name, 'SIGKILL');
    await ended;
    await wait(restartAfterMs);
    if (!isStopped) startNode(name);
  };
  /** Stops a node as the platform does: SIGTERM, then SIGKILL after `graceMs`. Resolves once it has ended. */
  const terminateNode = async (name, graceMs) => {
    const child = children.get(name);
    const ended = new Promise((resolve) => child.once('exit', resolve));
    signalNode(name, 'SIGTERM');
    const timer = setTimeout(() => signalNode(name, 'SIGKILL'), graceMs);
    await ended;
    clearTimeout(timer);
  };
  const agents = new Map();
  /**
   * Sends one request as a client on the machine `name`. The outcome holds the status (0: no complete answer), the
   * headers, the digest of the body, and in `fault` what was wrong on the connection.
   */
  const send = (name, { requestId, method = 'GET', host, path, body, timeLeftMs = 5000, client }) => {
    // A numbered client has one connection of its own; the others share theirs.
    const key = client === undefined ? name : `${name} ${client}`;
    let agent = agents.get(key);
    if (agent === undefined) {
      agent = new http.Agent({ keepAlive: true, ...(client === undefined ? {} : { maxSockets: 1 }) });
      agents.set(key, agent);
    }
    const sentAtMs = Date.now();
    return new Promise((resolve) => {
      const finish = (outcome) => {
        clearTimeout(timer);
        resolve({ requestId, sentAtMs, endedAtMs: Date.now(), status: 0, headers: {}, bodyDigest: '', ...outcome });
      };
      const headers = { host, [names.id]: requestId, [names.timeLeft]: String(timeLeftMs) };
      if (body !== undefined) headers['content-length'] = String(body.length);
      const message = http.request({
        host: addresses.get(name),
        port: PORTS.request,
        method,
        path,
        agent,
        headers,
      });
      // A client waits a little longer than it says.
      const timer = setTimeout(() => {
        message.destroy();
        finish({ fault: 'no answer' });
      }, timeLeftMs + 1000);
      message.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => finish({ fault: 'answer ended early' }));
        response.on('end', () => {
          const bytes = Buffer.concat(chunks);
          const text = bytes.length < 300 ? bytes.toString() : `${bytes.length} bytes`;
          if (response.complete)
            finish({ status: response.statusCode, headers: response.headers, bodyDigest: digest(bytes), text });
          else finish({ fault: 'answer ended early' });
        });
      });
      message.on('error', (error) => {
        const packet = error.rawPacket === undefined ? '' : error.rawPacket.toString('latin1').slice(0, 120);
        finish({ fault: error.code ?? String(error), packet });
      });
      message.end(body);
    });
  };
  /** Sends one request on a connection of its own, its body in chunks of `chunkBytes`; resolves with the status. */
  const sendChunked = (name, { requestId, host, path, body, chunkBytes, timeLeftMs }) => {
    const parts = [
      `POST ${path} HTTP/1.1\r\nHost: ${host}\r\n${names.id}: ${requestId}\r\n` +
        `${names.timeLeft}: ${timeLeftMs}\r\nTransfer-Encoding: chunked\r\n\r\n`,
    ];
    for (let start = 0; start < body.length; start += chunkBytes) {
      const chunk = body.subarray(start, start + chunkBytes);
      parts.push(`${chunk.length.toString(16)}\r\n`, chunk, '\r\n');
    }
    parts.push('0\r\n\r\n');
    const bytes = Buffer.concat(parts.map((part) => Buffer.from(part)));
    const sentAtMs = Date.now();
    return new Promise((resolve) => {
      const socket = net.connect({ host: addresses.get(name), port: PORTS.request });
      let text = '';
      const finish = (fault) => {
        clearTimeout(timer);
        socket.destroy();
        const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0);
        resolve({ requestId, sentAtMs, endedAtMs: Date.now(), status, fault });
      };
      const timer = setTimeout(() => finish('no answer'), timeLeftMs + 1000);
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
        const head = text.indexOf('\r\n\r\n');
        const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
        if (head >= 0 && text.length >= head + 4 + length) finish();
      });
      socket.on('error', (error) => finish(error.code));
      socket.on('end', () => finish('closed'));
      socket.write(bytes);
    });
  };
  const stop = async () => {
    isStopped = true;
    for (const agent of agents.values()) agent.destroy();
    for (const backend of backends.values()) backend.stop();
    await Promise.all(
      [...children.values()].map((child) => {
        if (child.exitCode !== null || child.signalCode !== null) return undefined;
        const ended = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        return ended;
      }),
    );
    store.stop();
    rmSync(folder, { recursive: true, force: true });
  };
  store.put('keyed.op', 'config', {
    version: 1,
    routes,
    services: [...new Set(hosts.map(({ service }) => service))].map((name) => ({ name, maxConnections: 862 })),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
  });
  for (const { name } of hosts) startNode(name);
  const ready = await Promise.all(hosts.map(({ name }) => waitUntilReady(name)));
  let starts = 0;
  const runBackend = async (name) => {
    const { zone, service, slots, plan } = hosts.find((host) => host.name === name);
    const previous = backends.get(name);
    const backend = await startBackend({
      // Each start of a backend is a new lifetime with a new id.
      id: `i-${name}-${++starts}`,
      service,
      zone,
      host: addresses.get(name),
      port: PORTS.backend,
      controlPort: PORTS.control,
      slots,
      heartbeatMs: HEARTBEAT_MS,
      plan: plan ?? (() => ({ workMs: 20 })),
    });
    if (previous !== undefined) {
      backend.runs.unshift(...previous.runs);
      backend.answers.unshift(...previous.answers);
    }
    backends.set(name, backend);
  };
  for (const { name } of hosts) await runBackend(name);
  // The links and the first check-ins settle before the traffic starts.
  await wait(3000);
  return {
    isUp: ready.every(Boolean),
    backends,
    store,
    lines,
    startNode,
    killNode,
    terminateNode,
    signalNode,
    waitUntilReady,
    crashBackend: (name) => backends.get(name).stop(),
    restartBackend: runBackend,
    send,
    sendChunked,
    stop,
    listRuns: () => [...backends.values()].flatMap(({ runs }) => runs),
    listAnswers: () => [...backends.values()].flatMap(({ answers }) => answers),
  };
}

export function buildRoute(name, service, change = {}) {
  return {
    name,
    host: `${name}.example`,
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    priority: 1,
    targetLatencyMs: 1200,
    timeoutMs: 5000,
    maxAttempts: 2,
    service,
    ...change,
  };
}

/**
 * The MIXED rule on the outcomes of clients: a success must be the backend's own whole answer to this request, and what
 * a client reads must be an answer in the protocol.
 */
export function findMixed(outcomes, answers) {
  const byId = new Map();
  for (const answer of answers) byId.set(answer.requestId, [...(byId.get(answer.requestId) ?? []), answer]);
  const broken = [];
  for (const outcome of outcomes) {
    const { requestId, status, headers, bodyDigest, fault, packet } = outcome;
    const answeredId = headers[names.id];
    if (fault?.startsWith('HPE_')) broken.push(`${requestId}: bytes that are no answer (${fault}): ${packet}`);
    else if (answeredId !== undefined && answeredId !== requestId)
      broken.push(`${requestId}: got status ${status}, the answer to ${answeredId}`);
    else if (status >= 200 && status < 300) {
      const own = (byId.get(requestId) ?? []).filter(({ status: given }) => given === 200);
      if (!own.some((answer) => answer.seal === headers[names.seal] && answer.bodyDigest === bodyDigest))
        broken.push(`${requestId}: a success that no backend gave to it`);
    }
  }
  return broken;
}
