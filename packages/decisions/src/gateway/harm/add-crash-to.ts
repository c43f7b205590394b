import { MAX_CRASHES } from './consts.js';
import { listMoments } from './list-moments.js';
import type { Crash } from './types.js';

/** Finds a process whose loss counts together with an earlier one; without any, the one lost first. */
const findLeastUseful = (crashes: ReadonlyMap<number, Crash>): number | undefined => {
  const sorted = [...crashes].sort(([, a], [, b]) => a.atMs - b.atMs);
  const independent = new Set(listMoments([...crashes.values()]).map(([first]) => first));
  const [process] = sorted.find(([, crash]) => !independent.has(crash)) ?? sorted[0] ?? [];
  return process;
};

/**
 * Adds the loss of an endpoint process to those of a suspect, whose number is bounded. Of two attempts that the
 * same process lost, the shorter one counts: it started last. Where all places are taken, the loss that adds
 * least to the evidence is dropped, which may be the new one.
 *
 * @returns whether the evidence has changed
 *
 * @example
 * addCrashTo(suspect.crashes, hashText('engine-1@5'), { atMs, tookMs, request }); // true
 */
export const addCrashTo = (crashes: Map<number, Crash>, process: number, crash: Crash): boolean => {
  const known = crashes.get(process);
  if (known !== undefined) {
    if (crash.tookMs >= known.tookMs) return false;
    crashes.set(process, { ...known, tookMs: crash.tookMs });
    return true;
  }
  crashes.set(process, crash);
  if (crashes.size <= MAX_CRASHES) return true;
  const dropped = findLeastUseful(crashes);
  if (dropped !== undefined) crashes.delete(dropped);
  return dropped !== process;
};
