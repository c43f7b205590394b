import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers of a run; the same seed gives the same run. */
export interface RandomSource {
  /** A number from 0 (included) to 1 (excluded). */
  draw(): number;
  drawBetween(low: number, high: number): number;
}

export const createRandomSource = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  return { draw, drawBetween: (low, high) => low + draw() * (high - low) };
};
