import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { startFleet } from '../../src/standins/fleet.js';
import type { Fleet } from '../../src/standins/fleet.js';
import { startLogServer } from '../../src/standins/logServer.js';
import type { LogServer } from '../../src/standins/logServer.js';
import { createChange } from '../fixtures/changes.js';
import { runHemlockctl } from '../fixtures/runHemlockctl.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

const HOSTS = ['d1-0', 'd1-1', 'd2-0'];

describe('hemlockctl with real nodes', () => {
  let log: LogServer;
  let fleet: Fleet;
  let node: string;

  before(async () => {
    log = await startLogServer();
    log.store.append(createChange('a', 0));
    const hosts = HOSTS.map((host) => ({ host, dataCenter: host.slice(0, 2) }));
    fleet = await startFleet(hosts, { logUrl: log.url });
    node = fleet.hosts.get('d1-0')?.node.addresses['operator'] ?? '';
    await waitUntil('the first node lists the addresses of all nodes', async () => {
      const { output } = await runHemlockctl('status', '--node', node, '--json');
      const { status } = JSON.parse(output) as { status: { members: { operatorAddress: string }[] } };
      return status.members.filter(({ operatorAddress }) => !operatorAddress.endsWith(':0')).length === HOSTS.length;
    });
  });
  after(async () => {
    await fleet.stop();
    await log.stop();
  });

  it('should wait until a version is in force at every node', async () => {
    const run = await runHemlockctl('wait', 'contracts', '1', '--node', node, '--json');
    expect(run.exitCode).toEqual(0);
    const { inForce, lagging } = JSON.parse(run.output) as { inForce: string[]; lagging: unknown[] };
    expect(inForce.sort()).toEqual(HOSTS);
    expect(lagging).toEqual([]);
    const status = await runHemlockctl('status', '--node', node);
    expect(status.output).toEqual(expect.includes('version: contracts 1'));
  });

  it('should list the hosts that lag, print progress, and exit with 1', async () => {
    const run = await runHemlockctl('wait', 'contracts', '99', '--node', node, '--timeout', '2');
    expect(run.exitCode).toEqual(1);
    for (const host of HOSTS) expect(run.output).toEqual(expect.includes(`${host} (version 1)`));
    expect(run.errors).toEqual(expect.includes('is in force at 0 of 3 hosts'));
  });

  it('should list a host that cannot be reached', async () => {
    await fleet.hosts.get('d2-0')?.node.kill();
    const run = await runHemlockctl('wait', 'contracts', '1', '--node', node, '--timeout', '1', '--json');
    expect(JSON.parse(run.output)).toEqual(expect.subset({ unreachable: ['d2-0'] }));
    expect(run.exitCode).toEqual(4);
  });
});
