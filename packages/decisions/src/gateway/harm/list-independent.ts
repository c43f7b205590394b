import { TIME_TOLERANCE_MS } from './consts.js';
import type { Crash } from './types.js';

/**
 * Lists the crashes that are independent of each other, in the order of time: each attempt started after the
 * loss before it was known. One event, such as a cut failure domain or a suspended entry VM that reads all its
 * broken connections at once, only breaks attempts that have started before it, and so counts once.
 *
 * @example
 * listIndependent([...suspect.crashes.values()]).length; // 3
 */
export const listIndependent = (crashes: readonly Crash[]): Crash[] => {
  const independent: Crash[] = [];
  [...crashes]
    .sort((a, b) => a.atMs - b.atMs)
    .forEach((crash) => {
      const previous = independent.at(-1);
      const startedAtMs = crash.atMs - crash.tookMs;
      if (previous === undefined || startedAtMs >= previous.atMs - TIME_TOLERANCE_MS)
        independent.push(crash);
    });
  return independent;
};
