import murmurhash from 'murmurhash';

const scoreOwner = (key: string, owner: string): number => murmurhash.v3(`${key}|${owner}`);

/**
 * Ranks owners of a key by rendezvous hash: all who know the same owners agree on the order, and an
 * owner that comes or goes changes the order of the others for no key.
 *
 * @example
 * const [home] = rankOwners('engine-a1', ['entry-a1', 'entry-a2']);
 *
 * @returns the owners, best first
 */
export const rankOwners = (key: string, owners: readonly string[]): string[] => {
  const scores = new Map(owners.map((owner) => [owner, scoreOwner(key, owner)]));
  const readScore = (owner: string): number => scores.get(owner) ?? 0;
  return [...scores.keys()].sort((a, b) => readScore(b) - readScore(a) || (a < b ? -1 : 1));
};

/**
 * The first of `rankOwners`, without the sort.
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

/** Digest of a text, 32 bits. */
export const hashText = (text: string): number => murmurhash.v3(text);
