import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { startFleet } from '../../src/standins/fleet.js';
import type { Fleet } from '../../src/standins/fleet.js';
import { startLogServer } from '../../src/standins/logServer.js';
import type { LogServer } from '../../src/standins/logServer.js';
import { describeChainHosts, publishDocuments, readSample, waitUntil } from '../fixtures/sampleFleet.js';

interface ChainResponse {
  host: string;
  service: string;
  echo: string;
  /** Responses of the downstream services. */
  onward: ChainResponse[];
}

describe('request path through real processes', () => {
  let log: LogServer;
  let fleet: Fleet;

  const send = async (
    host: string,
    service: string,
    operation: string,
    body: string,
    headers: Record<string, string> = {},
  ) => {
    const address = fleet.hosts.get(host)?.node.addresses['caller'] ?? '';
    const response = await request(`http://${address}/v1/call/${service}/${operation}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', ...headers },
      body,
    });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
  };

  before(async () => {
    log = await startLogServer();
    const services = ['order-intake', 'contracts', 'scheduling', 'depot-stock'];
    await publishDocuments(
      log.url,
      services.map((service) => readSample('kaltfracht', service)),
    );
    fleet = await startFleet(describeChainHosts(['d1', 'd2']), { logUrl: log.url });
    await waitUntil('every node responds to a request through four services', async () => {
      const statuses = await Promise.all(
        [...fleet.hosts.keys()].map(async (host) => (await send(host, 'order-intake', 'browse', '{}')).status),
      );
      return statuses.every((status) => status === 200);
    });
  });
  after(async () => {
    await fleet.stop();
    await log.stop();
  });

  it('should return the complete response to a request through four services', async () => {
    const answer = await send('d1-depot-stock', 'order-intake', 'placeOrder', '"order 17"');
    expect(answer.status).toEqual(200);
    let level = JSON.parse(answer.text) as ChainResponse;
    const services = [level.service];
    for (let next = level.onward[0]; next !== undefined; next = level.onward[0]) {
      expect(next.echo).toEqual('"order 17"');
      services.push(next.service);
      level = next;
    }
    expect(services).toEqual(['order-intake', 'contracts', 'scheduling', 'depot-stock']);
  });

  it('should give each of many concurrent callers its own response', async () => {
    const bodies = Array.from({ length: 200 }, (_, index) => `"body ${index}"`);
    const answers = await Promise.all(
      bodies.map((body, index) =>
        send(index % 2 === 0 ? 'd1-contracts' : 'd2-scheduling', 'order-intake', 'browse', body),
      ),
    );
    for (const [index, answer] of answers.entries()) {
      if (answer.status === 200) expect((JSON.parse(answer.text) as ChainResponse).echo).toEqual(bodies[index] ?? '');
    }
    expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(0);
  });

  it('should refuse an internal header from an external caller', async () => {
    const answer = await send('d1-contracts', 'order-intake', 'browse', '{}', { 'hemlock-call': 'x' });
    expect(answer.status).toEqual(400);
    expect(JSON.parse(answer.text)).toEqual({ failure: expect.subset({ kind: 'internalField', ran: 'no' }) });
  });

  it('should report an unknown service as a typed failure', async () => {
    const answer = await send('d1-contracts', 'nowhere', 'browse', '{}');
    expect(answer.status).toEqual(404);
    expect(JSON.parse(answer.text)).toEqual({ failure: expect.subset({ kind: 'unknownService', ran: 'no' }) });
  });

  it('should apply a published change at every node', async () => {
    const document = { ...readSample('kaltfracht', 'contracts'), retryAllowance: 5 };
    const version = log.store.append({
      kind: 'change',
      changeId: 'second',
      service: 'contracts',
      // The offset of its current document: the second one that was published.
      baseVersion: 2,
      operator: 'test',
      document,
    });
    await waitUntil(`version ${version} is in force at every node`, async () => {
      const versions = await Promise.all(
        [...fleet.hosts.values()].map(async ({ node }) => {
          const response = await request(`http://${node.addresses['operator'] ?? ''}/status`);
          return ((await response.body.json()) as { versions: Record<string, number> }).versions['contracts'];
        }),
      );
      return versions.every((found) => found === version);
    });
  });

  it('should route requests through other nodes after a node was killed', async () => {
    await fleet.hosts.get('d2-depot-stock')?.node.kill();
    await waitUntil(
      'a request that enters in the data centre of the killed node completes',
      async () => (await send('d2-contracts', 'order-intake', 'browse', '{}')).status === 200,
    );
  });
});
