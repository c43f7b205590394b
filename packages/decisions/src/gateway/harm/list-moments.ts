import { TIME_TOLERANCE_MS } from './consts.js';
import type { Crash } from './types.js';

/**
 * Lists the crashes by the moments that are independent of each other, in the order of time: each attempt of a
 * later moment started after the first loss of the one before it was known. One event, such as a cut failure
 * domain or a suspended entry VM that reads all its broken connections at once, only breaks attempts that have
 * started before it, and so is one moment.
 *
 * @example
 * listMoments([...suspect.crashes.values()]).length; // 3
 */
export const listMoments = (crashes: readonly Crash[]): Crash[][] => {
  const moments: Crash[][] = [];
  [...crashes]
    .sort((a, b) => a.atMs - b.atMs)
    .forEach((crash) => {
      const moment = moments.at(-1);
      const startedAtMs = crash.atMs - crash.tookMs;
      if (moment === undefined || startedAtMs >= moment[0]!.atMs - TIME_TOLERANCE_MS)
        moments.push([crash]);
      else moment.push(crash);
    });
  return moments;
};
