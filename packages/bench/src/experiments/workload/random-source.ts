import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random values of an experiment; the same seed gives the same values in the same order. */
export class RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** From 0 (included) to 1 (excluded). */
  drawUniform(): number {
    return uniformFloat64(this.generator);
  }

  drawIndex(count: number): number {
    return Math.floor(this.drawUniform() * count);
  }

  drawExponential(mean: number): number {
    return -mean * Math.log(1 - this.drawUniform());
  }

  /** A bounded Pareto value: many small, few large, none outside of the bounds. */
  drawPareto(min: number, max: number, shape: number): number {
    const ratio = (min / max) ** shape;
    return min / (1 - this.drawUniform() * (1 - ratio)) ** (1 / shape);
  }

  /** An index, each as likely as its weight. */
  drawWeighted(weights: readonly number[]): number {
    const sum = weights.reduce((total, weight) => total + weight, 0);
    let left = this.drawUniform() * sum;
    const index = weights.findIndex((weight) => {
      left -= weight;
      return left < 0;
    });
    return Math.max(0, index);
  }
}
