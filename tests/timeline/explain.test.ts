import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Decision, DecisionLine } from '../../src/schema/decision.js';
import { explainRequest } from '../../src/timeline/explainRequest.js';
import { runHemlockctl } from '../fixtures/runHemlockctl.js';

const REQUEST = 'ca45fc141ccc576e';
const START_MS = 1_700_000_000_000;

let nextLine = 0;
function createLine(host: string, atMs: number, decision: Decision): DecisionLine {
  return { timeMs: START_MS + atMs, host, line: nextLine++, ...decision };
}

/** A request enters at `entry-1`, fails at the target of `run-2`, and is retried at `run-3`, which is leaving. */
function createLines(): DecisionLine[] {
  const about = { service: 'stock', route: 'check' };
  return [
    createLine('entry-1', 0, { kind: 'nodeChanged', outcome: 'ready', inputs: { configuration: 7 } }),
    createLine('run-2', 50, {
      kind: 'targetChanged',
      outcome: 'draining',
      inputs: { target: 'i-other', host: 'run-9' },
    }),
    createLine('run-3', 100, { kind: 'targetChanged', outcome: 'draining', inputs: { target: 'i-3' } }),
    createLine('entry-1', 260, {
      kind: 'attemptFailed',
      id: REQUEST,
      outcome: 'retry',
      inputs: { host: 'run-2', failure: 'connectionLost' },
    }),
    createLine('run-2', 250, {
      kind: 'runFailed',
      id: REQUEST,
      outcome: 'connectionLost',
      inputs: { ...about, target: 'i-2' },
    }),
    createLine('run-3', 280, {
      kind: 'runFailed',
      id: REQUEST,
      outcome: 'leaving',
      inputs: { ...about, target: 'i-3' },
    }),
    createLine('entry-1', 290, {
      kind: 'requestRefused',
      id: REQUEST,
      outcome: 'failed',
      inputs: { ...about, host: 'run-3' },
    }),
    createLine('entry-1', 291, { kind: 'requestEnded', id: 'other', outcome: 'answered', inputs: about }),
  ];
}

describe('explanation of a request', () => {
  it('should list the decisions of all processes in order and return the failure closest to the target as the cause', () => {
    const { decisions, cause } = explainRequest(createLines(), REQUEST);
    expect(decisions.map(({ host, outcome }) => `${host} ${outcome}`)).toEqual([
      'run-2 connectionLost',
      'entry-1 retry',
      'run-3 leaving',
      'entry-1 failed',
    ]);
    expect(cause?.host).toEqual('run-2');
  });

  it('should return only the state changes about the subjects of the decisions', () => {
    const { beliefs } = explainRequest(createLines(), REQUEST);
    expect(beliefs.map(({ host, outcome }) => `${host} ${outcome}`)).toEqual(['entry-1 ready', 'run-3 draining']);
  });

  it('should keep the order of the lines of each process when its clock jumps back', () => {
    const lines = createLines();
    const jumped = lines.map((line) =>
      line.host === 'entry-1' && line.outcome === 'failed' ? { ...line, timeMs: START_MS - 5000 } : line,
    );
    const { decisions } = explainRequest(jumped, REQUEST);
    expect(decisions.filter(({ host }) => host === 'entry-1').map(({ outcome }) => outcome)).toEqual([
      'retry',
      'failed',
    ]);
  });

  it('should skip prefixes of log lines and lines that are not decisions', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'hemlockctl-'));
    const path = join(folder, 'nodes.log');
    const text = createLines().map((line) => `  12.345 ${line.host} | ${JSON.stringify(line)}`);
    writeFileSync(path, ['a start line', '{"broken":', ...text].join('\n'));
    const run = await runHemlockctl('explain', REQUEST, '--file', path);
    const none = await runHemlockctl('explain', 'absent', '--file', path);
    const missing = await runHemlockctl('explain', REQUEST, '--file', join(folder, 'none.log'));
    rmSync(folder, { recursive: true });
    expect(run.exitCode).toEqual(0);
    expect(run.output).toEqual(expect.includes('decided by'));
    expect(run.output.split('\n').at(-2)).toEqual(expect.includes('connectionLost'));
    expect(none.exitCode).toEqual(1);
    expect(missing.exitCode).toEqual(2);
  });
});
