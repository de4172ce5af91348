// A backend: it sends check-ins to the node beside it, runs requests, and leaves as the pages say.
/* global Buffer, clearInterval, performance, setInterval, setTimeout */
import { createServer } from 'node:http';
import { sendRequest } from './client.mjs';

/** Starts a backend. `handle` may replace how a request that runs is answered; it returns true if it has done so. */
export async function startBackend({
  id,
  service,
  zone,
  address,
  control,
  record,
  workMs = 50,
  slots = 50,
  firstCheckInDelayMs = 0,
  handle,
}) {
  const [host, port] = address.split(':');
  const runs = [];
  const state = { state: 'ready', sequence: 0, isSilent: false, confirmedAtMs: undefined };
  const born = Date.now();
  const sockets = new Set();
  let running = 0;

  const checkIn = async (delayMs = 0) => {
    const body = JSON.stringify({
      address,
      born,
      service,
      version: 'v1',
      dataCenter: zone,
      slots,
      state: state.state,
      sequence: ++state.sequence,
      coldLeftMs: 0,
    });
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    const path = `/v1/targets/${id}/heartbeat`;
    if (delayMs > 0) {
      record(`backend ${id}: a check-in is under way for ${delayMs} ms`);
      await new Promise((resolve) => setTimeout(resolve, delayMs));
      record(`backend ${id}: that check-in arrives`);
    }
    const { status } = await sendRequest({ address: control, method: 'POST', path, headers, body, timeoutMs: 1000 });
    return status >= 200 && status < 300;
  };
  const respond = (response, status, headers, body) => {
    if (response.destroyed) return;
    response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body), 'keep-alive': 'timeout=10' });
    response.end(body);
  };
  const server = createServer({ keepAliveTimeout: 10_000 }, async (request, response) => {
    const requestId = request.headers['x-attempt-id'];
    request.resume();
    await new Promise((resolve) => request.once('end', resolve).once('close', resolve));
    if (request.url === '/health') return respond(response, 200, { 'x-instance-id': id }, '');
    const named = request.headers['x-target-instance'];
    if (named !== undefined && named !== id)
      return respond(response, 421, { 'x-attempt-id': requestId, 'x-instance-id': id }, '');
    if (running >= slots) return respond(response, 503, { 'x-attempt-id': requestId, 'x-not-executed': '1' }, '');
    const run = { requestId, path: request.url, atMs: performance.now() };
    runs.push(run);
    record(`backend ${id}: runs ${requestId}`);
    running++;
    try {
      if (handle !== undefined && (await handle({ request, response, run, runs })) === true) return undefined;
      await new Promise((resolve) => setTimeout(resolve, workMs));
    } finally {
      running--;
    }
    return respond(response, 200, { 'x-attempt-id': requestId, 'x-response-seal': `seal-${requestId}` }, `${id}`);
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port: Number(port) }, resolve);
  });
  const beat = () => {
    if (!state.isSilent) void checkIn();
  };
  void checkIn(firstCheckInDelayMs);
  const timer = setInterval(beat, 1500);
  /** Repeats a call until it is confirmed; returns the time of the confirmation, or undefined after 5 s. */
  const repeat = async (call) => {
    const endMs = performance.now() + 5000;
    while (performance.now() < endMs) {
      if (await call()) {
        state.confirmedAtMs = performance.now();
        return state.confirmedAtMs;
      }
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
    return undefined;
  };
  return {
    id,
    runs,
    state,
    /** Reports `draining` until that is confirmed, and goes on serving and reporting. */
    drain: async () => {
      state.state = 'draining';
      const atMs = await repeat(checkIn);
      record(`backend ${id}: draining ${atMs === undefined ? 'not confirmed' : 'confirmed'}`);
      return atMs;
    },
    /** Deregisters without a report of `draining`, and goes on serving; it sends no more check-ins. */
    deregister: async () => {
      state.isSilent = true;
      const atMs = await repeat(async () => {
        const { status } = await sendRequest({
          address: control,
          method: 'POST',
          path: `/v1/targets/${id}/leave`,
          headers: { 'content-type': 'application/json', 'content-length': JSON.stringify({ born }).length },
          body: JSON.stringify({ born }),
          timeoutMs: 1000,
        });
        return status >= 200 && status < 300;
      });
      record(`backend ${id}: deregistration ${atMs === undefined ? 'not confirmed' : 'confirmed'}`);
      return atMs;
    },
    /** Ends as a process that crashes does: the listener and all connections close, and nothing more is sent. */
    stop: () => {
      clearInterval(timer);
      if (!server.listening) return undefined;
      const closed = new Promise((resolve) => server.close(resolve));
      for (const socket of sockets) socket.destroy();
      return closed;
    },
  };
}
