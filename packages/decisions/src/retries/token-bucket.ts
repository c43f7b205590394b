/**
 * Tokens that requests earn and retries spend, so that retries stay a fixed share of requests. Needs
 * no clock: with no requests there is nothing to earn.
 */
export class TokenBucket {
  private tokens: number;

  /**
   * @param burst most tokens held, and tokens held at the start
   * @param earnedPerRequest tokens that one request earns
   */
  constructor(
    private readonly burst: number,
    private readonly earnedPerRequest: number,
  ) {
    this.tokens = burst;
  }

  recordRequest(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.earnedPerRequest);
  }

  /** Whether a token can be spent with so many left over. */
  has(kept = 0): boolean {
    return this.tokens >= kept + 1;
  }

  /** Spends one token; to be called only where {@link has} is true. */
  take(): void {
    this.tokens -= 1;
  }
}
