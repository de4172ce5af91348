import { request } from 'undici';
import { FailureError } from '../../schema/failure.js';
import type { NodeStatus } from '../../schema/status.js';
import type { Fleet } from '../../standins/fleet.js';
import type { StartedProcess } from '../../standins/processes.js';

const POLL_INTERVAL_MS = 25;
const WAIT_TIMEOUT_MS = 30_000;

/** Waits until a version is in force at all nodes of a fleet. Returns the time taken (ms). */
export async function waitForVersion(fleet: Fleet, service: string, version: number): Promise<number> {
  const startedMs = performance.now();
  let waiting = [...fleet.hosts.values()];
  while (waiting.length > 0) {
    const versions = await Promise.all(waiting.map(({ node }) => fetchVersion(node, service)));
    waiting = waiting.filter((_, index) => (versions[index] ?? 0) < version);
    if (performance.now() - startedMs > WAIT_TIMEOUT_MS) {
      const names = waiting.map(({ host }) => host).join(', ');
      throw new FailureError({
        kind: 'processFailed',
        message: `version ${version} was not in force after 30 s at ${names}`,
      });
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  return performance.now() - startedMs;
}

/** Returns the version that is in force at a node, or 0 if there is none. */
export async function fetchVersion(node: StartedProcess, service: string): Promise<number> {
  const response = await request(`http://${node.addresses['operator'] ?? ''}/status`);
  const { versions } = (await response.body.json()) as NodeStatus;
  return versions[service] ?? 0;
}
