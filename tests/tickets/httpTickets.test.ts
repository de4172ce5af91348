import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { startFleet } from '../../src/standins/fleet.js';
import type { Fleet } from '../../src/standins/fleet.js';
import { startLogServer } from '../../src/standins/logServer.js';
import type { LogServer } from '../../src/standins/logServer.js';
import { describeChainHosts, publishDocuments, readSample, waitUntil } from '../fixtures/sampleFleet.js';

const services = ['order-intake', 'contracts', 'scheduling', 'depot-stock'];

describe('tickets through real processes', () => {
  let log: LogServer;
  let fleet: Fleet;

  const sendPost = async (host: string, path: string, body: string, headers: Record<string, string> = {}) => {
    const address = fleet.hosts.get(host)?.node.addresses['caller'] ?? '';
    const response = await request(`http://${address}/v1/${path}`, { method: 'POST', headers, body });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
  };
  const sendOrder = (host: string, body: string, ticket?: string) =>
    sendPost(host, 'call/order-intake/placeOrder', body, ticket === undefined ? {} : { 'idempotency-key': ticket });

  before(async () => {
    log = await startLogServer();
    await publishDocuments(
      log.url,
      services.map((service) => readSample('kaltfracht', service)),
    );
    fleet = await startFleet(describeChainHosts(['d1']), { logUrl: log.url });
    await waitUntil('every node answers a request four services deep', async () => {
      const statuses = await Promise.all(
        [...fleet.hosts.keys()].map(
          async (host) => (await sendPost(host, 'call/order-intake/browse', 'warm-up')).status === 200,
        ),
      );
      return statuses.every(Boolean);
    });
  });
  after(async () => {
    await fleet.stop();
    await log.stop();
  });

  it('should issue the requested number of distinct tickets', async () => {
    const answer = await sendPost('d1-contracts', 'tickets', '{"count": 100}');
    expect(answer.status).toEqual(200);
    const { tickets } = JSON.parse(answer.text) as { tickets: string[] };
    expect(new Set(tickets).size).toEqual(100);
  });

  it('should refuse ticket requests with a count outside 1 to 100 or a malformed body', async () => {
    for (const body of ['{"count": 101}', '{"count": 0}', 'x', '']) {
      const answer = await sendPost('d1-contracts', 'tickets', body);
      expect(answer.status).toEqual(400);
      expect(answer.text).toEqual(expect.includes('requestMalformed'));
    }
  });

  it('should return the stored response to a request that is resent to another node', async () => {
    const first = await sendOrder('d1-contracts', '"order 1"');
    const ticket = String(first.headers['idempotency-key']);
    expect([first.status, ticket.startsWith('t1:d1-contracts:')]).toEqual([200, true]);
    const second = await sendOrder('d1-scheduling', '"order 1"', ticket);
    expect(second.status).toEqual(200);
    expect(second.text).toEqual(first.text);
    expect(second.headers['idempotency-key']).toEqual(ticket);
  });

  it('should refuse a key that is not a ticket and a ticket that is reused with another body', async () => {
    const ticket = String((await sendOrder('d1-contracts', '"order 2"')).headers['idempotency-key']);
    const wrongKey = await sendOrder('d1-contracts', '"order 2"', 'a6f1');
    const wrongBody = await sendOrder('d1-contracts', '"order 3"', ticket);
    expect([wrongKey.status, wrongKey.headers['hemlock-ran']]).toEqual([400, 'no']);
    expect([wrongBody.status, wrongBody.headers['hemlock-ran']]).toEqual([422, 'no']);
  });
});
