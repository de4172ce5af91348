import { describe, it } from 'node:test';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';
import { expect } from 'earl';
import { createLinkBudget } from '../../src/control/requests/linkBudget.js';
import { createSystemClock } from '../../src/core/clock.js';
import type { Frame } from '../../src/schema/frame.js';
import { createPeerClient } from '../../src/transport/peerClient.js';
import { startPeerServer } from '../../src/transport/peerServer.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

describe('end of a stream between nodes', () => {
  it('should report to the receiver which stream has ended, so that no reply is written to it', async () => {
    const received: { peer: string; respond: (frame: Frame) => void }[] = [];
    const ended: ((frame: Frame) => void)[] = [];
    const server = await startPeerServer({
      listen: { host: '127.0.0.1', port: 0 },
      credentials: ServerCredentials.createInsecure(),
      clock: createSystemClock(),
      openAccount: createLinkBudget({ clock: createSystemClock(), reportEvictions: () => undefined }).add,
      receiveFrame: (peer, _lane, _frame, respond) => received.push({ peer, respond }),
      handleStreamEnded: (respond) => ended.push(respond),
    });
    const createClient = (host: string) =>
      createPeerClient({
        host,
        credentials: ChannelCredentials.createInsecure(),
        clock: createSystemClock(),
        resolveAddress: () => server.address,
        receiveFrame: () => undefined,
        handleLinkClosed: () => undefined,
      });
    const clients = [createClient('h1'), createClient('h2')];
    for (const client of clients) client.sendFrame('server', 'routine', { type: 'cancel', callId: 'c1' });
    await waitUntil('both frames arrived', () => received.length === 2);
    clients[0]?.stop();
    await waitUntil('the end of a stream was reported', () => ended.length > 0);
    expect(ended).toEqual(received.filter(({ peer }) => peer === 'h1').map(({ respond }) => respond));
    clients[1]?.stop();
    await server.stop();
  });
});
