import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runHemlockctl } from '../fixtures/runHemlockctl.js';

const commands = ['validate', 'check', 'publish', 'diff', 'show', 'history', 'status', 'drain', 'wait', 'explain'];

describe('usage of hemlockctl', () => {
  it('should show examples in the help of each command', async () => {
    const runs = await Promise.all(commands.map((command) => runHemlockctl(command, '--help')));
    for (const [index, { exitCode, output }] of runs.entries()) {
      expect(exitCode).toEqual(0);
      expect(output).toEqual(expect.includes(`$ hemlockctl ${commands[index] ?? ''} `));
      expect(output).toEqual(expect.includes('Examples'));
    }
  });

  it('should exit with 2 on wrong usage, not with 1 as for a rejection', async () => {
    const wrong = [
      [],
      ['nope'],
      ['publish'],
      ['show', 'x'],
      ['show', 'x', '--bogus'],
      ['wait', 's', 'x', '--node', 'a'],
    ];
    const runs = await Promise.all(wrong.map((parameters) => runHemlockctl(...parameters)));
    expect(runs.map(({ exitCode }) => exitCode)).toEqual(wrong.map(() => 2));
  });

  it('should list each fault of an invalid file with its path, and report a file that cannot be read', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'hemlockctl-'));
    const path = join(folder, 'broken.json');
    writeFileSync(path, '{"service": 7}');
    const run = await runHemlockctl('validate', path, 'examples/kaltfracht/contracts.json', '--json');
    expect(run.exitCode).toEqual(2);
    const { files } = JSON.parse(run.output) as { files: { path: string; faults: { path: string }[] }[] };
    expect(files.map(({ faults }) => faults.length > 0)).toEqual([true, false]);
    expect(files[0]?.faults.map((fault) => fault.path).includes('service')).toEqual(true);
    const missing = await runHemlockctl('validate', join(folder, 'none.json'));
    expect(missing.exitCode).toEqual(2);
    expect(missing.output).toEqual(expect.includes(`cannot read ${join(folder, 'none.json')}`));
    rmSync(folder, { recursive: true });
  });

  it('should exit with 4 when the node does not respond', async () => {
    const runs = await Promise.all([
      runHemlockctl('status', '--node', '127.0.0.1:9', '--json'),
      runHemlockctl('wait', 'contracts', '1', '--node', '127.0.0.1:9'),
    ]);
    expect(runs.map(({ exitCode }) => exitCode)).toEqual([4, 4]);
    expect(JSON.parse(runs[0]?.output ?? '')).toEqual({ failure: expect.subset({ kind: 'nodeUnreachable' }) });
  });
});
