import { createLogClient } from '../../platform/logClient.js';
import { startLogServer } from '../../standins/logServer.js';

const CHANGES = 3;

/**
 * Measures the baseline: every node polls the log independently, without long polls, at a total rate.
 *
 * @returns The maximum time (ms) from an append until all nodes have read it, over three appends.
 */
export async function measurePolling(options: { nodes: number; readsPerSecond: number }): Promise<number> {
  const { nodes, readsPerSecond } = options;
  const log = await startLogServer();
  const client = createLogClient(log.url);
  const periodMs = (1000 * nodes) / readsPerSecond;
  let maxMs = 0;
  for (let change = 1; change <= CHANGES; change++) {
    const startedMs = performance.now();
    const offset = log.store.append({ change });
    const times = Array.from({ length: nodes }, async (_, index) => {
      // The polls of the nodes are distributed evenly over the period.
      await waitFor(((index + 1) * periodMs) / nodes);
      const outcome = await client.read(offset);
      return outcome.type === 'page' && outcome.page.entries.length > 0 ? performance.now() - startedMs : Infinity;
    });
    maxMs = Math.max(maxMs, ...(await Promise.all(times)));
  }
  await log.stop();
  return maxMs;
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
