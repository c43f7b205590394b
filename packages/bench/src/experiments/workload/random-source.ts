import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random generator; the same seed gives the same sequence of values. */
export class RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  drawUniform(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns an integer from 0 to `count - 1`. */
  drawIndex(count: number): number {
    return Math.floor(this.drawUniform() * count);
  }

  drawExponential(mean: number): number {
    return -mean * Math.log(1 - this.drawUniform());
  }

  /** Returns a value of the bounded Pareto distribution: mostly near `min`, and at most `max`. */
  drawPareto(min: number, max: number, shape: number): number {
    const ratio = (min / max) ** shape;
    return min / (1 - this.drawUniform() * (1 - ratio)) ** (1 / shape);
  }

  /** Returns an index with a probability proportional to its weight. */
  drawWeighted(weights: readonly number[]): number {
    const sum = weights.reduce((total, weight) => total + weight, 0);
    let remaining = this.drawUniform() * sum;
    const index = weights.findIndex((weight) => {
      remaining -= weight;
      return remaining < 0;
    });
    return Math.max(0, index);
  }
}
