import type { MonotonicMs } from '@savorywind/model';
import { MAX_CRASHES, MIN_CRASH_SPACING_MS } from './consts.js';

type Crash = readonly [process: number, atMs: MonotonicMs];

/** Finds a crash that counts together with an earlier one; without any, the oldest crash. */
const findLeastUseful = (sorted: readonly Crash[]): Crash | undefined =>
  sorted.find(
    ([, atMs], index) => atMs - (sorted[index - 1]?.[1] ?? -Infinity) < MIN_CRASH_SPACING_MS,
  ) ?? sorted[0];

/**
 * Adds the loss of an engine process to those of a suspect, whose number is bounded. Where all places are
 * taken, the one that adds least to the evidence is dropped, which may be the new one.
 *
 * @returns whether the crash was new and is kept
 *
 * @example
 * addCrashTo(suspect.crashes, hashText('engine-1@5'), nowMs); // true
 */
export const addCrashTo = (
  crashes: Map<number, MonotonicMs>,
  process: number,
  atMs: MonotonicMs,
): boolean => {
  if (crashes.has(process)) return false;
  crashes.set(process, atMs);
  if (crashes.size <= MAX_CRASHES) return true;
  const dropped = findLeastUseful([...crashes].sort(([, a], [, b]) => a - b));
  if (dropped !== undefined) crashes.delete(dropped[0]);
  return dropped?.[0] !== process;
};
