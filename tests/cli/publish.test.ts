import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { applyPage, createLogReader } from '../../src/policy/logReader.js';
import { buildSnapshot } from '../../src/policy/snapshot.js';
import type { ServiceConfiguration } from '../../src/schema/serviceConfiguration.js';
import { startLogServer } from '../../src/standins/logServer.js';
import type { LogServer } from '../../src/standins/logServer.js';
import { createChange, createDocument, createPage } from '../fixtures/changes.js';
import { runHemlockctl } from '../fixtures/runHemlockctl.js';

describe('hemlockctl with the log', () => {
  let log: LogServer;
  let folder: string;

  const writeDocument = (document: unknown, name = 'contracts.json'): string => {
    const path = join(folder, name);
    writeFileSync(path, JSON.stringify(document));
    return path;
  };
  const listRecords = (): unknown[] => log.store.readFrom(1, 100).entries.map(({ value }) => value);

  beforeEach(async () => {
    log = await startLogServer();
    folder = mkdtempSync(join(tmpdir(), 'hemlockctl-'));
  });
  afterEach(async () => {
    await log.stop();
    rmSync(folder, { recursive: true });
  });

  it('should report the version of an accepted change and base the next change on it', async () => {
    const path = writeDocument(createDocument('contracts'));
    const first = await runHemlockctl('publish', path, '--log', log.url, '--operator', 'anna', '--json');
    expect(first.exitCode).toEqual(0);
    expect(JSON.parse(first.output)).toEqual({
      outcomes: [expect.subset({ type: 'accepted', version: 1, baseVersion: 0 })],
    });
    const second = await runHemlockctl('publish', path, '--log', log.url);
    expect(second.output).toEqual(expect.includes('contracts: accepted as version 2'));
    expect(listRecords()[0]).toEqual(expect.subset({ operator: 'anna' }));
  });

  it('should report the winning version and operator when a change is rejected', async () => {
    log.store.append(createChange('a', 0));
    log.store.append(createChange('b', 1, { operator: 'ben' }));
    const path = writeDocument(createDocument('contracts'));
    const run = await runHemlockctl('publish', path, '--base', '1', '--log', log.url, '--json');
    expect(run.exitCode).toEqual(1);
    const winner = { version: 2, changeId: 'b', operator: 'ben' };
    expect(JSON.parse(run.output)).toEqual({ outcomes: [expect.subset({ type: 'rejected', winner })] });
  });

  it('should apply a change once when the response is lost after the write', async () => {
    log.faults.loseAnswers = 1;
    const path = writeDocument(createDocument('contracts'));
    const run = await runHemlockctl('publish', path, '--log', log.url);
    expect(run.exitCode).toEqual(0);
    expect(run.output).toEqual(expect.includes('accepted as version 1'));
  });

  it('should report the first outcome when the same change id is published again later', async () => {
    const path = writeDocument(createDocument('contracts'));
    const parameters = ['publish', path, '--change-id', '0017', '--log', log.url];
    await runHemlockctl(...parameters);
    log.store.append(createChange('b', 1));
    const again = await runHemlockctl(...parameters);
    expect(again.exitCode).toEqual(0);
    expect(again.output).toEqual(expect.includes('accepted as version 1 (change 0017'));
    expect(listRecords().length).toEqual(2);
  });

  it('should not report the outcome of another change with the same id as its own', async () => {
    log.store.append(createChange('taken', 0));
    const path = writeDocument(createDocument('contracts', 9));
    const run = await runHemlockctl('publish', path, '--change-id', 'taken', '--log', log.url);
    expect(run.exitCode).toEqual(1);
    expect(run.output).toEqual(expect.includes('change id taken was used for another change at offset 1'));
  });

  it('should report unknown when the log goes down between the write and the read', async () => {
    log.faults.loseAnswers = 1;
    const { append } = log.store;
    log.store.append = (value) => {
      log.faults.isDown = true;
      return append(value);
    };
    const path = writeDocument(createDocument('contracts'));
    const run = await runHemlockctl('publish', path, '--timeout', '2', '--log', log.url);
    expect(run.exitCode).toEqual(3);
    expect(run.output).toEqual(expect.includes('run the same command with --change-id'));
    expect(run.errors).toEqual(expect.includes('retrying with the same change id'));
  });

  it('should report unknown with the change id when the record expires before it is read back', async () => {
    const { append } = log.store;
    log.store.append = (value) => {
      const offset = append(value);
      append('filler');
      log.store.dropBefore(offset + 1);
      return offset;
    };
    const path = writeDocument(createDocument('contracts'));
    const run = await runHemlockctl('publish', path, '--timeout', '1', '--change-id', 'x1', '--log', log.url);
    expect(run.exitCode).toEqual(3);
    expect(run.output).toEqual(expect.includes('--change-id x1'));
  });

  it('should report unreachable when nothing was written, and write nothing later', async () => {
    const path = writeDocument(createDocument('contracts'));
    log.faults.isDown = true;
    const down = await runHemlockctl('publish', path, '--timeout', '1', '--log', log.url);
    expect(down.exitCode).toEqual(4);
    expect(down.output).toEqual(expect.includes('nothing was written'));
    log.faults.isDown = false;
    log.faults.appendsPerSecond = 0;
    const capped = await runHemlockctl('publish', path, '--timeout', '1', '--log', log.url, '--json');
    expect(capped.exitCode).toEqual(4);
    expect(JSON.parse(capped.output)).toEqual({ outcomes: [expect.subset({ type: 'unreachable' })] });
    expect(listRecords()).toEqual([]);
  });

  it('should reject an invalid file without accessing the log', async () => {
    const path = writeDocument({ ...createDocument('contracts'), queueLimit: -1 });
    const run = await runHemlockctl('publish', path, '--log', log.url);
    expect(run.exitCode).toEqual(2);
    expect(run.output).toEqual(expect.includes('queueLimit: found -1, allowed: an integer from 0 to 100000'));
    expect(listRecords()).toEqual([]);
  });

  it('should use a snapshot when older records have expired, and report unknown when no snapshot covers them', async () => {
    const reader = createLogReader();
    applyPage(reader, createPage([createChange('a', 0)]));
    log.store.append(createChange('a', 0));
    log.store.append('filler');
    log.store.dropBefore(2);
    const path = writeDocument(createDocument('contracts', 2));
    const before = await runHemlockctl('publish', path, '--log', log.url);
    expect(before.exitCode).toEqual(3);
    expect(before.output).toEqual(expect.includes('records have expired and no snapshot covers them'));
    log.store.append(buildSnapshot(reader.state, { author: 'h1' }));
    const after = await runHemlockctl('publish', path, '--log', log.url);
    expect(after.output).toEqual(expect.includes('accepted as version 4'));
    expect(after.output).toEqual(expect.includes('in place of version 1'));
  });

  it('should show the document in force, the differences of a file, and the verdict on each change', async () => {
    log.store.append(createChange('a', 0));
    log.store.append(createChange('b', 0, { operator: 'ben' }));
    const show = await runHemlockctl('show', 'contracts', '--log', log.url);
    expect(JSON.parse(show.output)).toEqual(createDocument('contracts'));
    const path = writeDocument(createDocument('contracts', 7));
    const diff = await runHemlockctl('diff', path, '--log', log.url);
    expect(diff.output).toEqual(expect.includes('~ queueLimit: 1 -> 7'));
    const history = await runHemlockctl('history', 'contracts', '--log', log.url, '--json');
    expect(JSON.parse(history.output)).toEqual({
      service: 'contracts',
      version: 1,
      changes: [
        expect.subset({ offset: 1, verdict: 'accepted', operator: 'anna' }),
        expect.subset({ offset: 2, verdict: 'rejected', operator: 'ben' }),
      ],
    });
    const missing = await runHemlockctl('show', 'nowhere', '--log', log.url);
    expect(missing.exitCode).toEqual(1);
    expect(missing.output).toEqual(expect.includes('published services: contracts'));
  });

  it('should drain a host, and undo it, without changing anything else in the document', async () => {
    log.store.append(createChange('a', 0, { queueLimit: 4 }));
    const parameters = ['drain', 'd1-0', '--service', 'contracts', '--log', log.url];
    expect((await runHemlockctl(...parameters)).exitCode).toEqual(0);
    const readLast = (): ServiceConfiguration => (listRecords().at(-1) as { document: ServiceConfiguration }).document;
    expect(readLast()).toEqual({ ...createDocument('contracts', 4), drainedHosts: ['d1-0'] });
    const again = await runHemlockctl(...parameters);
    expect(again.output).toEqual(expect.includes('d1-0 is already drained in version 2'));
    expect((await runHemlockctl(...parameters, '--undo')).exitCode).toEqual(0);
    expect(readLast().drainedHosts).toEqual([]);
  });

  it('should repeat a drain on top of a concurrent change that was accepted first', async () => {
    log.store.append(createChange('a', 0));
    const { append } = log.store;
    log.store.append = (value) => {
      log.store.append = append;
      append(createChange('racing', 1, { queueLimit: 8 }));
      return append(value);
    };
    const run = await runHemlockctl('drain', 'd1-0', '--service', 'contracts', '--log', log.url);
    expect(run.exitCode).toEqual(0);
    expect(listRecords().at(-1)).toEqual(
      expect.subset({ baseVersion: 2, document: { ...createDocument('contracts', 8), drainedHosts: ['d1-0'] } }),
    );
  });
});
