import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createHybridClock } from '../../src/core/hybridClock.js';
import { createFrameTimestamps } from '../../src/node/frameTimestamps.js';
import type { TimelineEvent } from '../../src/schema/event.js';
import type { Frame } from '../../src/schema/frame.js';
import { formatEvent } from '../../src/timeline/formatEvent.js';
import { mergeEvents } from '../../src/timeline/mergeEvents.js';
import { renderPage } from '../../src/timeline/renderPage.js';

function createEvent(host: string, wallMs: number, change: Partial<TimelineEvent> = {}): TimelineEvent {
  return { time: { wallMs, counter: 0 }, host, kind: 'callRefused', ...change };
}

describe('merged timeline', () => {
  it('should order an effect after its cause when the wall clock of its host is behind', () => {
    const frames: Frame[] = [];
    const causeClock = createHybridClock(() => 10_000);
    const effectClock = createHybridClock(() => 3_000);
    const causing = createFrameTimestamps(causeClock, (_peer, _lane, frame) => frames.push(frame) > 0);
    const affected = createFrameTimestamps(effectClock, () => true);
    const cause = { ...createEvent('a', 0), time: causeClock.getNext() };
    causing.sendFrame('b', 'control', { type: 'cancel', callId: 'c' });
    for (const frame of frames) affected.receiveTimestamp(frame);
    const effect = { ...createEvent('b', 0), time: effectClock.getNext() };
    const merged = mergeEvents([
      { host: 'b', dataCenter: 'd', events: [effect] },
      { host: 'a', dataCenter: 'd', events: [cause] },
    ]);
    expect(merged.map(({ host }) => host)).toEqual(['a', 'b']);
  });

  it('should stamp the response to a frame with a later time than the frame', () => {
    const answers: Frame[] = [];
    const clock = createHybridClock(() => 5);
    const stamps = createFrameTimestamps(clock, () => true);
    stamps.receiveTimestamp({ type: 'cancel', callId: 'c', sentAt: [90, 7] });
    stamps.wrapRespond((frame) => answers.push(frame))({ type: 'cancel', callId: 'c' });
    expect(answers).toEqual([{ type: 'cancel', callId: 'c', sentAt: [90, 8] }]);
  });

  it('should ignore the time of a peer whose clock is an hour ahead', () => {
    const clock = createHybridClock(() => 5);
    createFrameTimestamps(clock, () => true).receiveTimestamp({ type: 'cancel', callId: 'c', sentAt: [3_600_005, 0] });
    expect(clock.getNext().wallMs).toEqual(5);
  });

  const events = [
    createEvent('a', 1, { requestId: 'r1', service: 's1' }),
    createEvent('a', 2, { requestId: 'r2', service: 's1', kind: 'callAnswered' }),
    createEvent('a', 3, { requestId: 'r1', service: 's2' }),
  ];
  const otherEvents = [createEvent('b', 2, { requestId: 'r1', service: 's1' })];
  const sources = [
    { host: 'a', dataCenter: 'd', events },
    { host: 'b', dataCenter: 'd', events: otherEvents },
  ];
  const cases = [
    { filter: { requestId: 'r1' }, times: [1, 2, 3] },
    { filter: { service: 's2' }, times: [3] },
    { filter: { host: 'b' }, times: [2] },
    { filter: { kind: 'callAnswered' }, times: [2] },
    { filter: { requestId: 'r1', host: 'a', service: 's1' }, times: [1] },
  ];
  for (const { filter, times } of cases) {
    it(`should keep only events that match ${JSON.stringify(filter)}`, () => {
      expect(mergeEvents(sources, filter).map(({ time }) => time.wallMs)).toEqual(times);
    });
  }

  it('should show all fields of an event in one line of text', () => {
    const event = createEvent('a1', Date.UTC(2026, 0, 1, 9, 15, 2, 113), {
      service: 'stock',
      operation: 'browse',
      priority: 'low',
      requestId: 'r1',
      data: { failure: 'shed', ownTimeMs: 1.234 },
    });
    expect(formatEvent(event).split(/ +/)).toEqual(
      '09:15:02.113+0 a1 callRefused stock/browse (low) request=r1 failure=shed ownTimeMs=1.23'.split(' '),
    );
  });

  it('should escape texts from the fleet that would end the script element of the page', () => {
    const hostile = '</script><script>alert(1)</script>';
    const page = renderPage(
      [{ host: hostile, dataCenter: 'd' }],
      [createEvent(hostile, 1, { data: { text: hostile } })],
    );
    const data = /<script id="data" type="application\/json">(.*?)<\/script>/s.exec(page)?.[1] ?? '';
    expect(page.includes(hostile)).toEqual(false);
    expect((JSON.parse(data) as { rows: Record<string, string>[] }).rows).toEqual([{ host: hostile, dataCenter: 'd' }]);
  });

  it('should not load external resources', () => {
    const page = renderPage([{ host: 'a', dataCenter: 'd' }], events);
    expect(/(src|href)=|https?:/.test(page)).toEqual(false);
  });

  it('should contain a script without syntax errors', () => {
    const script = /<script>(.*)<\/script>/s.exec(renderPage([], []))?.[1] ?? '';
    expect(() => Reflect.construct(Function, [script]) as unknown).not.toThrow();
  });
});
