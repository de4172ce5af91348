import { totalmem } from 'node:os';
import { getHeapStatistics } from 'node:v8';
import { computeClientBytes } from '../policy/clientBytes.js';

/** Computes the default for the bytes that all connections of a listener hold together, from the memory of this process. */
export function computeDefaultHeldBytes(): number {
  return computeClientBytes(listMemoryLimits());
}

/** Lists what bounds the memory of this process: the heap, the machine, and a limit of its control group if there is one. */
function listMemoryLimits(): number[] {
  return [getHeapStatistics().heap_size_limit, totalmem(), process.constrainedMemory()].filter((bytes) => bytes > 0);
}
