import { readFileSync } from 'node:fs';

/** Unit of the times in /proc/PID/stat, which counts 100 clock ticks per second. */
const MS_PER_TICK = 10;
const BYTES_PER_KIB = 1_024;

/** Field indexes in /proc/PID/stat after the program name, which may contain spaces. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Reads the processor time that a process has used, in milliseconds. */
export const readProcessorMs = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  return ticks * MS_PER_TICK;
};

/** Reads the resident memory of a process, in bytes. */
export const readResidentBytes = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1]) * BYTES_PER_KIB;
};
