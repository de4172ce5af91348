import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildSettings, runDaemon } from '../fixtures/daemonProcess.js';

describe('faulty settings', () => {
  const outside = { host: '192.0.2.1', port: 7000 };
  const cases = [
    { name: 'text that is not JSON', text: '{', lines: ['fileUnreadable: cannot read settings'] },
    { name: 'a value that is not an object', text: '[]', lines: ['(document): found []'] },
    {
      name: 'several invalid fields',
      text: JSON.stringify(buildSettings({ host: 'a b', maxCallerConnections: 0, colour: 'red' })),
      lines: ['host: found "a b"', 'maxCallerConnections: found 0', 'colour: found "red"'],
    },
    {
      name: 'a peer port without TLS outside loopback',
      text: JSON.stringify(buildSettings({ peerListen: outside })),
      lines: ['peerListen.host: found "192.0.2.1" without tls'],
    },
    {
      name: 'a seed without TLS outside loopback',
      text: JSON.stringify(buildSettings({ seeds: ['127.0.0.1:7000', '192.0.2.1:7000'] })),
      lines: ['seeds.1: found "192.0.2.1:7000" without tls'],
    },
    {
      name: 'a local port outside loopback',
      text: JSON.stringify(buildSettings({ localListen: outside })),
      lines: ['localListen.host: found "192.0.2.1"'],
    },
    {
      name: 'key files that do not exist',
      text: JSON.stringify(
        buildSettings({ tls: { keyFile: '/nowhere/k', certificateFile: '/nowhere/c', authorityFile: '/nowhere/a' } }),
      ),
      lines: ['fileUnreadable: cannot read /nowhere/k'],
    },
  ];
  for (const { name, text, lines } of cases) {
    it(`should exit with code 2 and print one line per fault for ${name}`, () => {
      const result = runDaemon(text);
      expect(result.exitCode).toEqual(2);
      expect([...result.lines].sort()).toEqual([...lines].sort().map((line) => expect.includes(line)) as string[]);
    });
  }
});
