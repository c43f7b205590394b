import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded pseudorandom number generator; equal seeds give equal sequences. */
export interface RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  draw(): number;
  /** Returns a number from `low` (inclusive) to `high` (exclusive). */
  drawBetween(low: number, high: number): number;
}

export const createRandomSource = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  return { draw, drawBetween: (low, high) => low + draw() * (high - low) };
};
