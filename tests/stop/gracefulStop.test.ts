import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { startFleet } from '../../src/standins/fleet.js';
import type { Fleet } from '../../src/standins/fleet.js';
import { startLogServer } from '../../src/standins/logServer.js';
import type { LogServer } from '../../src/standins/logServer.js';
import { countOutcomes, startSteadyCallers } from '../fixtures/callers.js';
import type { CallerOutcome } from '../fixtures/callers.js';
import { describeChainHosts, publishDocuments, readSample, waitUntil } from '../fixtures/sampleFleet.js';

const SEND_PERIOD_MS = 8;
const WARM_UP_REQUESTS = 100;
/** Requests sent after the stopped process has exited. */
const FOLLOWING_REQUESTS = 100;

describe('graceful stop under load', () => {
  let log: LogServer;
  let fleet: Fleet;

  const listUrls = (hosts: readonly string[], operation: string): string[] =>
    hosts.map(
      (host) => `http://${fleet.hosts.get(host)?.node.addresses['caller'] ?? ''}/v1/call/order-intake/${operation}`,
    );
  const sendDuringStop = async (urls: readonly string[], stopProcess: () => Promise<number | null>) => {
    const callers = startSteadyCallers(urls, SEND_PERIOD_MS);
    await waitUntil(
      'the callers have completed the warm-up requests',
      () => callers.outcomes.length >= WARM_UP_REQUESTS,
    );
    const exitCode = await stopProcess();
    const count = callers.outcomes.length;
    await waitUntil(
      'the callers have completed requests after the stop',
      () => callers.outcomes.length >= count + FOLLOWING_REQUESTS,
    );
    await callers.stop();
    return { exitCode, outcomes: callers.outcomes, later: callers.outcomes.slice(count) };
  };
  const listFailed = (outcomes: readonly CallerOutcome[]): CallerOutcome[] =>
    outcomes.filter(({ status }) => status !== 200);

  before(async () => {
    log = await startLogServer();
    const services = ['order-intake', 'contracts', 'scheduling', 'depot-stock'];
    await publishDocuments(
      log.url,
      services.map((service) => readSample('kaltfracht', service)),
    );
    fleet = await startFleet(describeChainHosts(['d1', 'd2']), { logUrl: log.url });
    await waitUntil('every entry node completes a request', async () => {
      const callers = startSteadyCallers(listUrls([...fleet.hosts.keys()], 'placeOrder'), 1);
      await waitUntil('each node has received a request', () => callers.outcomes.length >= fleet.hosts.size);
      await callers.stop();
      return listFailed(callers.outcomes).length === 0;
    });
  });
  after(async () => {
    await fleet.stop();
    await log.stop();
  });

  it('should complete every non-idempotent request while a target stops on SIGTERM', async () => {
    const urls = listUrls(['d1-order-intake', 'd2-order-intake'], 'placeOrder');
    const { exitCode, outcomes } = await sendDuringStop(
      urls,
      async () => (await fleet.hosts.get('d1-depot-stock')?.target?.stop()) ?? null,
    );
    expect(exitCode).toEqual(0);
    expect(countOutcomes(listFailed(outcomes))).toEqual({});
  });

  it('should complete every non-idempotent request while a node in the middle of the chain stops on SIGTERM', async () => {
    const urls = listUrls(['d1-order-intake', 'd2-order-intake'], 'placeOrder');
    const { exitCode, outcomes } = await sendDuringStop(
      urls,
      async () => (await fleet.hosts.get('d1-scheduling')?.node.stop()) ?? null,
    );
    expect(exitCode).toEqual(0);
    expect(countOutcomes(listFailed(outcomes))).toEqual({});
  });

  it('should complete accepted requests at an entry node that gets SIGTERM, and refuse later ones as not run', async () => {
    const urls = listUrls(['d1-contracts', 'd2-contracts'], 'placeOrder');
    const callers = startSteadyCallers(urls, SEND_PERIOD_MS);
    await waitUntil(
      'the callers have completed the warm-up requests',
      () => callers.outcomes.length >= WARM_UP_REQUESTS,
    );
    const stopped = fleet.hosts.get('d1-contracts')?.node.stop();
    await waitUntil('the stopping node refuses requests', () => listFailed(callers.outcomes).length > 0);
    const { outcomes } = callers;
    await callers.stop();
    expect(await stopped).toEqual(0);
    expect(Object.keys(countOutcomes(listFailed(outcomes)))).toEqual(['503 stopping no']);
  });
});
