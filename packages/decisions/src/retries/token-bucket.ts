/**
 * A token bucket that requests refill and retries empty, so that retries stay a fixed fraction of
 * requests. It does not depend on time.
 */
export class TokenBucket {
  private tokens: number;

  /**
   * @param burst capacity in tokens, and tokens at the start
   * @param tokensPerRequest tokens that one request adds
   */
  constructor(
    private readonly burst: number,
    private readonly tokensPerRequest: number,
  ) {
    this.tokens = burst;
  }

  recordRequest(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.tokensPerRequest);
  }

  /** Whether a token can be taken so that the reserved number is left. */
  has(reserved = 0): boolean {
    return this.tokens >= reserved + 1;
  }

  /** Takes one token. Must be called only if {@link has} is true. */
  take(): void {
    this.tokens -= 1;
  }
}
