import { MAX_CRASHES, MIN_CRASH_SPACING_MS } from './consts.js';
import type { Crash } from './types.js';

type Entry = readonly [process: number, crash: Crash];

/** Finds a crash that counts together with an earlier one; without any, the oldest crash. */
const findLeastUseful = (sorted: readonly Entry[]): Entry | undefined =>
  sorted.find(([, { atMs }], index) => {
    const previousMs = sorted[index - 1]?.[1].atMs ?? Number.NEGATIVE_INFINITY;
    return atMs - previousMs < MIN_CRASH_SPACING_MS;
  }) ?? sorted[0];

/**
 * Adds the loss of an engine process to those of a suspect, whose number is bounded. Where all places are
 * taken, the one that adds least to the evidence is dropped, which may be the new one.
 *
 * @returns whether the crash was new and is kept
 *
 * @example
 * addCrashTo(suspect.crashes, hashText('engine-1@5'), { atMs, request }); // true
 */
export const addCrashTo = (crashes: Map<number, Crash>, process: number, crash: Crash): boolean => {
  if (crashes.has(process)) return false;
  crashes.set(process, crash);
  if (crashes.size <= MAX_CRASHES) return true;
  const dropped = findLeastUseful([...crashes].sort(([, a], [, b]) => a.atMs - b.atMs));
  if (dropped !== undefined) crashes.delete(dropped[0]);
  return dropped?.[0] !== process;
};
