// A stand-in of the platform's store, for the calls that the program makes: `/log-append`, `/log-read` and `/log-newest` of
// keyed topics with one partition. It loses nothing that it has acknowledged.
/* global Buffer, URL, clearTimeout, setTimeout */
import { createServer } from 'node:http';

const MAX_WAIT_MS = 30_000;

function readAll(message) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    message.on('data', (chunk) => chunks.push(chunk));
    message.on('end', () => resolve(Buffer.concat(chunks)));
    message.on('error', reject);
  });
}

/** Splits a body into records, each with a length of 4 bytes before it. */
function splitRecords(body) {
  const records = [];
  for (let position = 0; position + 4 <= body.length;) {
    const length = body.readUInt32BE(position);
    records.push(body.subarray(position + 4, position + 4 + length));
    position += 4 + length;
  }
  return records;
}

function decodeRecord(content) {
  const keyEnd = 1 + content[0];
  return { key: content.toString('utf8', 1, keyEnd), value: content.subarray(keyEnd) };
}

/**
 * Starts the store. `faults.isDown` rejects all calls with 503; `faults.chooseLate` names a write that gets no answer
 * and is done some seconds later.
 */
export async function startStore({ host, record }) {
  const topics = new Map();
  const waiting = new Set();
  const sockets = new Set();
  const faults = { isDown: false, chooseLate: () => undefined };
  const writes = { all: 0, late: 0 };

  const getTopic = (name) => {
    let topic = topics.get(name);
    if (topic === undefined) topics.set(name, (topic = { records: [], newest: new Map() }));
    return topic;
  };
  const append = (name, records) => {
    const topic = getTopic(name);
    const offset = topic.records.length;
    for (const content of records) {
      const { key, value } = decodeRecord(content);
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, { value, offset: topic.records.length });
      topic.records.push(content);
    }
    for (const wake of [...waiting]) wake();
    return offset;
  };
  const describe = (records) =>
    records
      .map((content) => {
        const { key, value } = decodeRecord(content);
        if (value.length === 0) return `${key}: deleted`;
        const { revision, target } = JSON.parse(value.toString());
        return `${key}: revision ${revision}, backend ${target?.id ?? '-'} ${target?.phase ?? '-'}`;
      })
      .join('; ');
  const respond = (response, status, body = '') => {
    if (response.destroyed) return;
    response.writeHead(status, { 'content-length': Buffer.byteLength(body) });
    response.end(body);
  };
  const handleAppend = (request, response, query, body) => {
    const topic = query.get('topic');
    const records = splitRecords(body);
    if (topic === 'keyed.op' || topic === 'keyed.servers') return respond(response, 403);
    writes.all++;
    const lateMs = topic === 'keyed.members' ? faults.chooseLate(records.map(decodeRecord)) : undefined;
    if (lateMs !== undefined) {
      writes.late++;
      record(`store: got ${describe(records)}; no answer, done in ${lateMs} ms`);
      setTimeout(() => {
        append(topic, records);
        record(`store: done late: ${describe(records)}`);
      }, lateMs);
      return undefined;
    }
    const offset = append(topic, records);
    record(`store: wrote ${describe(records)}`);
    return respond(response, 200, JSON.stringify({ offset, end: offset + records.length }));
  };
  const handleRead = (response, query) => {
    const topic = getTopic(query.get('topic'));
    const from = Number(query.get('from'));
    const send = () => {
      waiting.delete(wake);
      clearTimeout(timer);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(topic.records.length), 0);
      const parts = topic.records.slice(from).flatMap((content) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(content.length);
        return [length, content];
      });
      if (faults.isDown) respond(response, 503);
      else respond(response, 200, Buffer.concat([head, ...parts]));
    };
    const wake = () => {
      if (topic.records.length > from || faults.isDown) send();
    };
    const timer = setTimeout(send, Math.min(Number(query.get('wait_ms') ?? 0), MAX_WAIT_MS));
    response.once('close', () => {
      waiting.delete(wake);
      clearTimeout(timer);
    });
    waiting.add(wake);
    wake();
  };
  const handleNewest = (response, query) => {
    const { records, newest } = getTopic(query.get('topic'));
    const items = [...newest].map(([key, { value, offset }]) => ({ key, value: value.toString('base64'), offset }));
    respond(response, 200, JSON.stringify({ items, more: false, end: records.length }));
  };
  const server = createServer(async (request, response) => {
    try {
      const url = new URL(request.url, 'http://store');
      const body = await readAll(request);
      if (faults.isDown) respond(response, 503);
      else if (url.pathname === '/log-append') handleAppend(request, response, url.searchParams, body);
      else if (url.pathname === '/log-read') handleRead(response, url.searchParams);
      else if (url.pathname === '/log-newest') handleNewest(response, url.searchParams);
      else respond(response, 404);
    } catch {
      // The caller has gone.
    }
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port: 0 }, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    faults,
    writes,
    setDown: (isDown) => {
      faults.isDown = isDown;
      record(`store: ${isDown ? 'down, answers 503' : 'up'}`);
      for (const wake of [...waiting]) wake();
    },
    put: (topic, key, value) => {
      const keyBytes = Buffer.from(key);
      append(topic, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(JSON.stringify(value))])]);
    },
    readNewest: (topic, key) => {
      const found = getTopic(topic).newest.get(key);
      return found === undefined ? undefined : JSON.parse(found.value.toString());
    },
    stop: () => {
      for (const socket of sockets) socket.destroy();
      return new Promise((resolve) => server.close(resolve));
    },
  };
}
