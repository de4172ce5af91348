import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createLogClient } from '../../src/platform/logClient.js';
import { startLogServer } from '../../src/standins/logServer.js';
import type { LogServer } from '../../src/standins/logServer.js';
import { createChange } from '../fixtures/changes.js';

describe('log client over HTTP', () => {
  let log: LogServer;

  beforeEach(async () => {
    log = await startLogServer({ maxPageEntries: 2 });
  });
  afterEach(async () => {
    await log.stop();
  });

  it('should distinguish a lost response from an append that was not written', async () => {
    const client = createLogClient(log.url);
    log.faults.loseAnswers = 1;
    expect((await client.append(createChange('a', 0))).type).toEqual('unknown');
    log.faults.appendsPerSecond = 0;
    expect((await client.append(createChange('b', 0))).type).toEqual('unavailable');
    expect(log.store.readFrom(1, 10).entries.length).toEqual(1);
  });

  it('should report a log that is down, and continue from the same offset after its restart', async () => {
    const client = createLogClient(log.url);
    for (const changeId of ['a', 'b', 'c']) await client.append(createChange(changeId, 0));
    const port = Number(new URL(log.url).port);
    await log.stop();
    expect((await client.read(1)).type).toEqual('unavailable');
    expect((await client.append(createChange('d', 0))).type).toEqual('unavailable');
    log = await startLogServer({ port, store: log.store, maxPageEntries: 2 });
    const page = await client.read(2);
    expect(page.type === 'page' ? page.page.entries.map(({ offset }) => offset) : []).toEqual([2, 3]);
  });

  it('should time out if the log responds too slowly', async () => {
    const client = createLogClient(log.url, { timeoutMs: 50 });
    log.faults.delayMs = 5000;
    expect((await client.read(1)).type).toEqual('unavailable');
    expect((await client.append(createChange('a', 0))).type).toEqual('unknown');
    log.faults.delayMs = 0;
  });

  it('should receive an append during a long poll, and report the log as unavailable if it goes down during one', async () => {
    const client = createLogClient(log.url);
    const firstRead = client.read(1, { waitMs: 20_000 });
    // Returns once the server has received the long poll above.
    await client.read(1);
    log.store.append(createChange('a', 0));
    const page = await firstRead;
    expect(page.type === 'page' ? page.page.entries.length : 0).toEqual(1);
    const secondRead = client.read(2, { waitMs: 300 });
    // The same for the second long poll.
    await client.read(1);
    log.faults.isDown = true;
    expect((await secondRead).type).toEqual('unavailable');
  });

  it('should report the oldest offset after records expired', async () => {
    const client = createLogClient(log.url);
    for (const changeId of ['a', 'b', 'c']) await client.append(createChange(changeId, 0));
    log.store.dropBefore(3);
    const outcome = await client.read(1);
    expect(outcome).toEqual({ type: 'page', page: expect.subset({ oldestOffset: 3, nextOffset: 4 }) });
  });
});
