// Stand-ins of the platform's store and of backends, as the users' PROTOCOL.md describes them.
import { Buffer } from 'node:buffer';
import { createHash, randomBytes } from 'node:crypto';
import http from 'node:http';
import net from 'node:net';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Header names of the platform. */
export const names = {
  id: 'x-attempt-id',
  timeLeft: 'x-deadline-remaining-ms',
  caller: 'x-caller-service',
  instance: 'x-target-instance',
  seal: 'x-response-seal',
  notRun: 'x-not-executed',
  load: 'x-server-load',
};

export const digest = (bytes) => createHash('sha256').update(bytes).digest('hex').slice(0, 16);

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function startListening(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port, backlog: 1024 }, resolve);
  });
}

function createPartition() {
  return { records: [], newest: new Map(), waiters: new Set() };
}

function applyKeyed(partition, content, offset) {
  const keyEnd = 1 + (content[0] ?? 0);
  const key = content.toString('utf8', 1, keyEnd);
  if (keyEnd >= content.length) partition.newest.delete(key);
  else partition.newest.set(key, { value: content.subarray(keyEnd), offset });
}

/** The platform's store: a log with keyed topics; it loses nothing and answers in the order of the writes. */
export async function startStore(host, port) {
  const lost = { count: 0, lateMs: 0 };
  const partitions = new Map();
  const getPartition = (topic, part) => {
    const name = `${topic}/${part}`;
    if (!partitions.has(name)) partitions.set(name, createPartition());
    return partitions.get(name);
  };
  const append = (topic, part, contents) => {
    const partition = getPartition(topic, part);
    const first = partition.records.length;
    for (const content of contents) {
      if (topic.startsWith('keyed.')) applyKeyed(partition, content, partition.records.length);
      partition.records.push(content);
    }
    const waiters = [...partition.waiters];
    partition.waiters.clear();
    for (const run of waiters) run();
    return { offset: first, end: partition.records.length };
  };
  const handleAppend = async (query, message, response) => {
    const topic = query.get('topic');
    const part = query.get('part');
    const body = await readBody(message);
    if (topic === 'keyed.op' || topic === 'keyed.servers') return respondJson(response, 403, {});
    const at = query.get('at');
    const end = getPartition(topic, part).records.length;
    if (at !== null && Number(at) !== end) return respondJson(response, 412, { end });
    const contents = [];
    for (let position = 0; position + 4 <= body.length;) {
      const length = body.readUInt32BE(position);
      contents.push(body.subarray(position + 4, position + 4 + length));
      position += 4 + length;
    }
    if (lost.count > 0) {
      // The write is done later, and no answer comes on this connection any more.
      lost.count--;
      setTimeout(() => append(topic, part, contents), lost.lateMs);
      return undefined;
    }
    // `append`: each append takes 2 ms.
    await new Promise((resolve) => setTimeout(resolve, 2));
    return respondJson(response, 200, append(topic, part, contents));
  };
  const handleRead = async (query, message, response) => {
    const partition = getPartition(query.get('topic'), query.get('part'));
    const from = Number(query.get('from') ?? 0);
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    if (partition.records.length <= from && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          partition.waiters.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        partition.waiters.add(finish);
        message.socket.setMaxListeners(0);
        message.socket.once('close', finish);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    const framed = partition.records.slice(from).flatMap((content) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      return [length, content];
    });
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(Buffer.concat([head, ...framed]));
  };
  const handleNewest = (query, response) => {
    const partition = getPartition(query.get('topic'), query.get('part'));
    const after = query.get('after') ?? '';
    const items = [...partition.newest]
      .filter(([key]) => key > after)
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([key, { value, offset }]) => ({ key, value: value.toString('base64'), offset }));
    respondJson(response, 200, {
      items: items.slice(0, 500),
      more: items.length > 500,
      end: partition.records.length,
    });
  };
  const server = http.createServer((message, response) => {
    const url = new URL(message.url, 'http://store');
    if (url.pathname === '/log-append') void handleAppend(url.searchParams, message, response);
    else if (url.pathname === '/log-read') void handleRead(url.searchParams, message, response);
    else if (url.pathname === '/log-newest') handleNewest(url.searchParams, response);
    else respondJson(response, 404, {});
  });
  await startListening(server, host, port);
  return {
    /** The next `count` writes are done `lateMs` later and not answered. */
    loseWrites: (count, lateMs) => {
      Object.assign(lost, { count, lateMs });
    },
    put: (topic, key, value) => {
      const keyBytes = Buffer.from(key);
      append(topic, '0', [
        Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(JSON.stringify(value))]),
      ]);
    },
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function respondJson(response, status, value) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/**
 * A backend beside a node. It reads the whole request, works on up to `slots` requests at a time, queues as many more,
 * stops at the time limit that it was given, drops a request when its connection closes, and signs its answers.
 *
 * `options.plan(request)` returns what a request needs: `workMs`, and the pieces of its answer as
 * `[{ bytes, afterMs }]`; by default one short piece.
 */
export async function startBackend(options) {
  const { id, service, zone, host, port, controlPort, slots, heartbeatMs, plan } = options;
  const born = Date.now();
  const state = { running: 0, sequence: 0, slowness: 1 };
  const queue = [];
  /** All requests that the backend began to work on. */
  const runs = [];
  /** All answers that the backend gave. */
  const answers = [];

  const answer = (response, requestId, status, headers, body) => {
    if (response.destroyed) return;
    response.writeHead(status, {
      [names.id]: requestId,
      [names.load]: `${state.running},${queue.length},${slots}`,
      'keep-alive': 'timeout=10',
      ...headers,
    });
    response.end(body);
  };
  const startNext = () => {
    while (state.running < slots && queue.length > 0) {
      const job = queue.shift();
      if (!job.response.destroyed) void work(job);
    }
  };
  const work = async ({ request, response, deadlineMs }) => {
    state.running++;
    runs.push({ ...request, backend: id, atMs: Date.now() });
    const { workMs, pieces } = plan(request);
    const leftMs = deadlineMs - Date.now();
    const neededMs = workMs * state.slowness;
    await waitOpen(response, Math.min(neededMs, leftMs));
    state.running--;
    startNext();
    if (response.destroyed) return;
    if (neededMs > leftMs) {
      const seal = buildSeal();
      answers.push({ requestId: request.requestId, status: 504, seal, bodyDigest: digest(''), backend: id });
      answer(response, request.requestId, 504, { [names.seal]: seal, 'content-length': '0' }, '');
      return;
    }
    const parts = pieces ?? [{ bytes: Buffer.from(`${id} ran ${request.requestId}\n`), afterMs: 0 }];
    const whole = Buffer.concat(parts.map(({ bytes }) => bytes));
    // An answer to HEAD ends with its headers.
    const isHead = request.method === 'HEAD';
    const seal = buildSeal();
    answers.push({
      requestId: request.requestId,
      status: 200,
      seal,
      bodyDigest: digest(isHead ? '' : whole),
      backend: id,
    });
    response.writeHead(200, {
      [names.id]: request.requestId,
      [names.seal]: seal,
      [names.load]: `${state.running},${queue.length},${slots}`,
      'content-length': String(whole.length),
      'keep-alive': 'timeout=10',
    });
    for (const { bytes, afterMs } of isHead ? [] : parts) {
      if (afterMs > 0) await waitOpen(response, afterMs);
      if (response.destroyed) return;
      response.write(bytes);
    }
    response.end();
  };
  const handle = async (message, response) => {
    message.on('error', () => undefined);
    const requestId = message.headers[names.id] ?? '';
    const receivedMs = Date.now();
    let body;
    try {
      body = await readBody(message);
    } catch {
      // The connection ended within the request.
      return;
    }
    if (message.method === 'GET' && message.url === '/health') {
      response.writeHead(200, { 'x-instance-id': id, [names.load]: `${state.running},${queue.length},${slots}` });
      response.end();
      return;
    }
    const refusal = { [names.notRun]: '1', 'content-length': '0' };
    const expected = message.headers[names.instance];
    if (requestId === '') return answer(response, '', 400, refusal, '');
    if (expected !== undefined && expected !== id)
      return answer(response, requestId, 421, { 'x-instance-id': id, 'content-length': '0' }, '');
    if (state.running >= slots && queue.length >= slots) return answer(response, requestId, 503, refusal, '');
    const request = {
      requestId,
      method: message.method,
      path: message.url,
      caller: message.headers[names.caller] ?? '',
      bodyBytes: body.length,
      bodyDigest: digest(body),
    };
    const timeLeftMs = Number(message.headers[names.timeLeft] ?? 60_000);
    queue.push({ request, response, deadlineMs: receivedMs + timeLeftMs });
    startNext();
  };
  const server = http.createServer({ keepAliveTimeout: 10_000 }, (message, response) => {
    response.on('error', () => undefined);
    void handle(message, response);
  });
  await startListening(server, host, port);
  const beat = () => {
    const body = JSON.stringify({
      address: `${host}:${port}`,
      born,
      service,
      version: 'v1',
      dataCenter: zone,
      slots,
      state: 'ready',
      sequence: ++state.sequence,
      coldLeftMs: 0,
    });
    const message = http.request({
      host,
      port: controlPort,
      method: 'POST',
      path: `/v1/targets/${id}/heartbeat`,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      timeout: 1000,
    });
    message.on('response', (response) => response.resume());
    message.on('timeout', () => message.destroy());
    message.on('error', () => undefined);
    message.end(body);
  };
  beat();
  const timer = setInterval(beat, heartbeatMs);
  /** Deregisters, and sends no check-in any more; resolves with the time of the confirmation, or undefined. */
  const leave = () => {
    clearInterval(timer);
    return new Promise((resolve) => {
      const path = `/v1/targets/${id}/leave`;
      const message = http.request({ host, port: controlPort, method: 'POST', path, timeout: 1000 });
      message.on('response', (response) => {
        response.resume();
        resolve(response.statusCode < 300 ? Date.now() : undefined);
      });
      message.on('timeout', () => message.destroy());
      message.on('error', () => resolve(undefined));
      message.end();
    });
  };
  return {
    id,
    runs,
    answers,
    state,
    leave,
    stop: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

function buildSeal() {
  return randomBytes(12).toString('hex');
}

/** Waits, or less if the connection closes. */
function waitOpen(response, ms) {
  response.setMaxListeners(0);
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      response.off('close', finish);
      resolve();
    };
    const timer = setTimeout(finish, Math.max(0, ms));
    response.once('close', finish);
  });
}

/** True if nothing listens at an address. */
export function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}
