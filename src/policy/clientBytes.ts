/**
 * Share of the memory that clients may hold. A node without clients uses up to half of 200 MB, and what was read and dropped
 * stays until the next garbage collection, which V8 puts off for up to 64 MB of buffers.
 */
const CLIENT_MEMORY_SHARE = 0.0625;
/** Lower bound of the share, however little memory there is. */
const MIN_CLIENT_BYTES = 8 * 1024 * 1024;
/** 4,000 connections with a whole head of 16 KiB each. */
const MAX_CLIENT_BYTES = 64 * 1024 * 1024;

/**
 * Computes the default for the bytes that all clients of a process hold together. Addresses many clients outside the
 * limits; clients inside them hold some KiB each, and only while a request runs.
 *
 * @example
 * computeClientBytes([heapLimitBytes, machineBytes]);
 */
export function computeClientBytes(memoryLimits: readonly number[]): number {
  const share = Math.floor(Math.min(...memoryLimits) * CLIENT_MEMORY_SHARE);
  return Math.min(MAX_CLIENT_BYTES, Math.max(MIN_CLIENT_BYTES, share));
}
