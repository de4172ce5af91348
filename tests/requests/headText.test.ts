import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { createSystemClock } from '../../src/core/clock.js';
import { startControlServers } from '../../src/http/controlServers.js';
import { formatRefusal } from '../../src/http/responseWriter.js';
import { createTargetConnectionPool } from '../../src/http/targetConnectionPool.js';
import { createTargetSender } from '../../src/http/targetSender.js';
import { linkFrameSchema } from '../../src/schema/linkFrame.js';
import type { AnswerFrame, RunRequest } from '../../src/schema/linkFrame.js';
import { routeConfigurationSchema } from '../../src/schema/routeConfiguration.js';
import { compileSchema } from '../../src/schema/validate.js';
import { startRawTarget } from '../fixtures/rawTarget.js';
import { buildRouteConfiguration } from '../fixtures/requestFleet.js';
import { buildHeartbeat, buildRunRequest, collectRun, findFreeAddress, testHeaderNames } from '../fixtures/requests.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

/** Line breaks, also as the low bytes of letters, which remain of them in Latin-1. */
const lineBreaks = ['\r\n', '\n', '\u010d\u010a'];

describe('text of others in heads', () => {
  const cleanups: (() => unknown)[] = [];
  afterEach(async () => {
    for (const run of cleanups.splice(0)) await run();
  });

  async function startServers(): Promise<string> {
    const targetListen = await findFreeAddress();
    const servers = await startControlServers({
      names: testHeaderNames,
      clock: createSystemClock(),
      targetListen,
      readyListen: await findFreeAddress(),
      metricsListen: await findFreeAddress(),
      isReady: () => true,
      decodeTargetMessage: (body) => body,
      receiveHeartbeat: (_id, _heartbeat, acknowledge) => {
        acknowledge();
      },
      receiveLeave: (_id, acknowledge) => {
        acknowledge();
      },
      reportInvalidHeartbeat: () => undefined,
      renderMetrics: () => Promise.resolve(''),
    });
    cleanups.push(servers.stop);
    return targetListen;
  }

  // Guards against requests with headers of the sender of a heartbeat, or that no target reads.
  it('should not be taken over from the id of a target', async () => {
    const address = await startServers();
    const sendMessage = async (id: string, action: string): Promise<number> => {
      const url = `http://${address}/v1/targets/${encodeURIComponent(id)}/${action}`;
      const response = await fetch(url, { method: 'POST', body: JSON.stringify(buildHeartbeat()) });
      return response.status;
    };
    const ids = ['i-1', ...lineBreaks.map((text) => `i-1${text}x: y`), 'i\0'];
    const statuses = await Promise.all(
      ids.map(async (id) => [await sendMessage(id, 'heartbeat'), await sendMessage(id, 'leave')]),
    );
    expect(statuses).toEqual([
      [200, 200],
      [400, 400],
      [400, 400],
      [400, 400],
      [400, 400],
    ]);
  });

  // Guards against an organisation whose name ends the head of its requests, or is not the one that was published.
  for (const [name, bytes] of [
    ['acme', 'acme'],
    ['caf\u00e9', 'caf\u00e9'],
    ['\u010d\u010ax: y', '\u00c4\u008d\u00c4\u008ax: y'],
  ] as const) {
    it(`should write the name of an organisation beyond Latin-1 as UTF-8: ${JSON.stringify(name)}`, async () => {
      const target = await startRawTarget(() => undefined);
      const pool = createTargetConnectionPool(createSystemClock());
      cleanups.push(target.stop, pool.stop);
      const send = createTargetSender({ pool, names: testHeaderNames });
      const request = buildRunRequest({ organisation: name });
      send({ address: target.address, targetId: 'i-1', request }, collectRun().events);
      await waitUntil('the request', () => target.received[0]?.includes('\r\n\r\n') === true);
      expect(target.received.join('').split('\r\n')).toInclude(`test-organisation: ${bytes}`);
    });
  }

  // The id may come from the record of an earlier process of the host.
  it('should not end the head of a request with the service of its host or the id of its target', async () => {
    const target = await startRawTarget(() => undefined);
    const pool = createTargetConnectionPool(createSystemClock());
    cleanups.push(target.stop, pool.stop);
    const request = buildRunRequest({ callerService: 'stock\r\n\r\nGET /' });
    const send = createTargetSender({ pool, names: testHeaderNames });
    send({ address: target.address, targetId: 'i-1\r\nx: y', request }, collectRun().events);
    await waitUntil('the request', () => target.received[0]?.includes('\r\n\r\n') === true);
    const lines = target.received.join('').split('\r\n');
    expect(lines).toInclude('test-caller: stock    GET /', 'test-target: i-1  x: y');
  });

  // Guards against a header that no client can read; the time of a stopping node follows from its settings.
  it('should name the time after which to retry as a decimal number', () => {
    const formatRetry = (retryAfterMs: number): string | undefined =>
      /Retry-After: (.*)\r\n/.exec(formatRefusal({ kind: 'stopping', detail: '', retryAfterMs }).head)?.[1];
    expect([0, 250, 1e300, Infinity].map(formatRetry)).toEqual(['0.000', '0.250', '3600.000', '3600.000']);
  });

  it('should make a configuration invalid if an organisation has control characters in its name', () => {
    const validator = compileSchema(routeConfigurationSchema);
    const listPaths = (name: string): string[] =>
      validator
        .listFaults({ ...buildRouteConfiguration(1, []), organisations: [{ name, keys: [] }] })
        .map(({ path }) => path);
    expect(['acme', '\u010d', 'a\r\nb', 'a\0'].map(listPaths)).toEqual([
      [],
      [],
      ['organisations.0.name'],
      ['organisations.0.name'],
    ]);
  });

  describe('that arrives in a frame', () => {
    const validator = compileSchema(linkFrameSchema);
    const isRunValid = (change: Partial<RunRequest>): boolean =>
      validator.isValid({ type: 'run', id: 1, request: buildRunRequest(change) });
    const load = { phase: 'ready', service: 'stock', targetId: 'i-1', running: 0, queued: 0, limit: 1 } as const;
    const isAnswerValid = (change: Partial<AnswerFrame>): boolean =>
      validator.isValid({
        type: 'answer',
        id: 1,
        status: 200,
        headers: [],
        body: new Uint8Array(),
        isStreamed: false,
        load: { ...load, durationMs: 1, failureShare: 0 },
        ...change,
      });

    // What clients may send must not be refused: peers would close the link.
    it('should be valid if the parser of requests lets it through', () => {
      const anyText = String.fromCharCode(...Array.from({ length: 256 }, (_, code) => code)).replace(/[\0\r\n]/g, '');
      expect(isRunValid({ path: anyText, headers: ['x', anyText], requestId: anyText })).toEqual(true);
      expect(isAnswerValid({ headers: ['x', anyText, 'y', ''] })).toEqual(true);
    });

    for (const text of [...lineBreaks, '\0', '\u{1f600}']) {
      it(`should be invalid with ${JSON.stringify(text)}`, () => {
        const changes = [{ method: text }, { path: text }, { requestId: text }, { headers: ['x', text] }];
        expect(changes.map(isRunValid)).toEqual([false, false, false, false]);
        expect(isAnswerValid({ headers: [text, 'x'] })).toEqual(false);
      });
    }

    it('should be invalid with a status that is not final', () => {
      const isValid = (status: number): boolean => isAnswerValid({ status });
      expect([200, 599, 199, 600, 0, -1, 1e300].map(isValid)).toEqual([true, true, false, false, false, false, false]);
    });
  });
});
