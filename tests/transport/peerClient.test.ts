import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';
import { expect } from 'earl';
import { createLinkBudget } from '../../src/control/requests/linkBudget.js';
import { createSystemClock } from '../../src/core/clock.js';
import type { Frame } from '../../src/schema/frame.js';
import { createPeerClient } from '../../src/transport/peerClient.js';
import type { PeerClient, PeerClientOptions } from '../../src/transport/peerClient.js';
import { startPeerServer } from '../../src/transport/peerServer.js';
import type { PeerServer } from '../../src/transport/peerServer.js';
import { createTrafficCounters } from '../../src/transport/trafficCounters.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const heartbeat: Frame = { type: 'heartbeat', version: 1 };
const cleanups: (() => void | Promise<void>)[] = [];

function openClient(options: Partial<PeerClientOptions>): PeerClient {
  const client = createPeerClient({
    host: 'a',
    credentials: ChannelCredentials.createInsecure(),
    clock: createSystemClock(),
    resolveAddress: (peer) => peer,
    receiveFrame: () => undefined,
    handleLinkClosed: () => undefined,
    ...options,
  });
  cleanups.push(client.stop);
  return client;
}

async function openServer(received: Frame[]): Promise<PeerServer> {
  const server = await startPeerServer({
    listen: { host: '127.0.0.1', port: 0 },
    credentials: ServerCredentials.createInsecure(),
    clock: createSystemClock(),
    openAccount: createLinkBudget({ clock: createSystemClock(), reportEvictions: () => undefined }).add,
    receiveFrame: (_host, _lane, frame) => received.push(frame),
  });
  cleanups.push(server.stop);
  return server;
}

async function openTcp(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a TCP relay that can stop forwarding without closing its connections, as after a network partition. */
async function startRelay(to: string): Promise<{ address: string; stopForwarding: () => void }> {
  const sockets = new Set<Socket>();
  const [host = '', port = ''] = to.split(':');
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    near.pipe(far).pipe(near);
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.on('error', () => undefined);
    }
  });
  cleanups.push(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return {
    address: await openTcp(server),
    stopForwarding: () => {
      for (const socket of sockets) socket.unpipe().pause();
    },
  };
}

describe('peer streams', () => {
  afterEach(async () => {
    for (const clean of cleanups.splice(0).reverse()) await clean();
  });

  it('should close a link whose connection receives nothing any more', async () => {
    const received: Frame[] = [];
    const relay = await startRelay((await openServer(received)).address);
    const closed: string[] = [];
    const client = openClient({ handleLinkClosed: (peer, lane) => closed.push(`${peer} ${lane}`) });
    client.sendFrame(relay.address, 'urgent', heartbeat);
    await waitUntil('the frame arrives', () => received.length === 1);
    relay.stopForwarding();
    await waitUntil('the link is closed', () => closed.length === 1);
    expect(closed).toEqual([`${relay.address} urgent`]);
  });

  it('should fail a link to an address that accepts connections but never responds, and delay the redial', async () => {
    const sockets: Socket[] = [];
    const unresponsive = createServer((socket) => sockets.push(socket.on('error', () => undefined)));
    cleanups.push(() => {
      unresponsive.close();
      for (const socket of sockets) socket.destroy();
    });
    const address = await openTcp(unresponsive);
    let isClosed = false;
    const client = openClient({ handleLinkClosed: () => (isClosed = true), random: () => 1 });
    expect(client.sendFrame(address, 'control', heartbeat)).toEqual(true);
    await waitUntil('the link has failed', () => isClosed);
    expect(client.sendFrame(address, 'control', heartbeat)).toEqual(false);
    await waitUntil('the address is dialled again', () => client.sendFrame(address, 'control', heartbeat));
  });

  it('should limit the bytes buffered for a peer that does not read', async () => {
    const sockets: Socket[] = [];
    const unresponsive = createServer((socket) => sockets.push(socket.on('error', () => undefined)));
    cleanups.push(() => {
      unresponsive.close();
      for (const socket of sockets) socket.destroy();
    });
    const address = await openTcp(unresponsive);
    const client = openClient({});
    const body = new Uint8Array(200 * 1024);
    const answer: Frame = {
      type: 'answer',
      callId: 'c',
      allowanceLeft: 0,
      admittedFraction: 1,
      status: 200,
      contentType: '',
      body,
    };
    let written = 0;
    while (written < 1000 && client.sendFrame(address, 'routine', answer)) written++;
    expect(written * body.length).toBeLessThan(8 * 1024 * 1024 + 1);
  });

  it('should send to the new address of a restarted node at once', async () => {
    const [earlier, later]: [Frame[], Frame[]] = [[], []];
    const addresses = [(await openServer(earlier)).address, (await openServer(later)).address];
    let current = 0;
    const client = openClient({ resolveAddress: () => addresses[current] });
    client.sendFrame('b', 'control', heartbeat);
    await waitUntil('the first process receives the frame', () => earlier.length === 1);
    current = 1;
    expect(client.sendFrame('b', 'control', heartbeat)).toEqual(true);
    await waitUntil('the second process receives the frame', () => later.length === 1);
    expect(earlier.length).toEqual(1);
  });

  it('should send from the server on the same connection and count the bytes of both directions', async () => {
    const received: Frame[] = [];
    const answers: Frame[] = [];
    const counters = createTrafficCounters();
    const server = await openServer(received);
    const client = openClient({ counters, receiveFrame: (_peer, _lane, frame) => answers.push(frame) });
    client.sendFrame(server.address, 'control', heartbeat);
    await waitUntil('the frame arrives', () => received.length === 1);
    expect(server.sendOnAcceptedStream('unknown', 'control', heartbeat)).toEqual(false);
    expect(server.sendOnAcceptedStream('a', 'control', heartbeat)).toEqual(true);
    await waitUntil('the response arrives', () => answers.length === 1);
    expect(counters.sent.get('heartbeat')?.frames).toEqual(1);
    expect(counters.received.get('heartbeat')).toEqual(counters.sent.get('heartbeat'));
  });
});
