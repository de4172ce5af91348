import { readFileSync } from 'node:fs';

/** Resolution of the processor times in `/proc`: USER_HZ is 100 on all current platforms. */
const TICK_MS = 10;
const KIB = 1024;

export interface ProcessUsage {
  processorMs: number;
  residentBytes: number;
}

/** Reads the processor time (user and system) and the resident memory of a local process from `/proc`. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name in parentheses may contain spaces, so fields are counted after it; utime and stime are fields
  // 14 and 15 of the line.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const resident = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
  return {
    processorMs: (Number(fields[11]) + Number(fields[12])) * TICK_MS,
    residentBytes: Number(resident ?? 0) * KIB,
  };
}
