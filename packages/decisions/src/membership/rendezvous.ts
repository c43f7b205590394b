import murmurhash from 'murmurhash';

const scoreOwner = (key: string, owner: string): number => murmurhash.v3(`${key}|${owner}`);

/**
 * Ranks the candidate owners of a key by rendezvous hashing. All processes that know the same owners
 * compute the same order, and adding or removing an owner does not change the relative order of the
 * others.
 *
 * @example
 * const [coordinator] = rankOwners('engine-a1', ['entry-a1', 'entry-a2']);
 *
 * @returns the owners, best first
 */
export const rankOwners = (key: string, owners: readonly string[]): string[] => {
  const scores = new Map(owners.map((owner) => [owner, scoreOwner(key, owner)]));
  const readScore = (owner: string): number => scores.get(owner) ?? 0;
  return [...scores.keys()].sort((a, b) => readScore(b) - readScore(a) || (a < b ? -1 : 1));
};

/**
 * Compares two owners by their places in the order of `rankOwners`; negative if `a` is before `b`.
 *
 * @example
 * compareOwners('engine-a1', 'entry-a1', 'entry-a2');
 */
export const compareOwners = (key: string, a: string, b: string): number =>
  scoreOwner(key, b) - scoreOwner(key, a) || (a < b ? -1 : Number(a > b));

/**
 * Returns the first owner of `rankOwners` without sorting, or undefined if there are no owners.
 *
 * @example
 * findOwner('engine-a1', ['entry-a1', 'entry-a2']);
 */
export const findOwner = (key: string, owners: readonly string[]): string | undefined => {
  let best: string | undefined;
  let bestScore = -1;
  owners.forEach((owner) => {
    const score = scoreOwner(key, owner);
    if (score < bestScore) return;
    if (score === bestScore && best !== undefined && best < owner) return;
    best = owner;
    bestScore = score;
  });
  return best;
};

/** Returns a 32-bit hash of a text. */
export const hashText = (text: string): number => murmurhash.v3(text);
