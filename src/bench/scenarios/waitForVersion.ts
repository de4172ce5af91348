import { request } from 'undici';
import { FailureError } from '../../schema/failure.js';
import type { NodeStatus } from '../../schema/status.js';
import type { Fleet } from '../../standins/fleet.js';
import type { StartedProcess } from '../../standins/processes.js';

const POLL_MS = 25;
const GIVE_UP_MS = 30_000;

/** Waits until a version is in force at all nodes of a fleet and returns how long that took (ms). */
export async function waitForVersion(fleet: Fleet, service: string, version: number): Promise<number> {
  const startedMs = performance.now();
  let waiting = [...fleet.hosts.values()];
  while (waiting.length > 0) {
    const versions = await Promise.all(waiting.map(({ node }) => fetchVersion(node, service)));
    waiting = waiting.filter((_, index) => (versions[index] ?? 0) < version);
    if (performance.now() - startedMs > GIVE_UP_MS) {
      const names = waiting.map(({ host }) => host).join(', ');
      throw new FailureError({ kind: 'processFailed', message: `version ${version} is not in force at ${names}` });
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return performance.now() - startedMs;
}

/** Asks a node which version is in force at it; 0 when there is none. */
export async function fetchVersion(node: StartedProcess, service: string): Promise<number> {
  const response = await request(`http://${node.addresses['operator'] ?? ''}/status`);
  const { versions } = (await response.body.json()) as NodeStatus;
  return versions[service] ?? 0;
}
