import type { EndpointId, TeamId } from '@savorywind/model';
import { RETRIES_EARNED_PER_REQUEST, RETRIES_KEPT_FOR_STREAMS, RETRY_BURST } from './consts.js';
import { TokenBucket } from './token-bucket.js';

const createBucket = (): TokenBucket => new TokenBucket(RETRY_BURST, RETRIES_EARNED_PER_REQUEST);

const findBucket = (buckets: Map<string, TokenBucket>, name: string): TokenBucket => {
  const found = buckets.get(name);
  if (found !== undefined) return found;
  const bucket = createBucket();
  buckets.set(name, bucket);
  return bucket;
};

/** Whether the caller has the beginning of the answer that is to be completed. */
export type RetryStage = 'unanswered' | 'begun';

const KEPT_TOKENS: Readonly<Record<RetryStage, number>> = {
  unanswered: RETRIES_KEPT_FOR_STREAMS,
  begun: 0,
};

/**
 * Bounds retries by what an entry VM, a team and an endpoint have earned. A retry needs a token of
 * each, so that neither one team nor one endpoint uses up what the others have. The last tokens are
 * left to answers that have begun: a request that no endpoint has answered can still be refused whole.
 *
 * @example
 * const budgets = new RetryBudgets();
 * budgets.recordRequest('counter', 'engine-a1');
 * if (budgets.takeRetry('counter', 'engine-a2', 'unanswered')) retry();
 */
export class RetryBudgets {
  private readonly node = createBucket();

  private readonly teams = new Map<TeamId, TokenBucket>();

  private readonly endpoints = new Map<EndpointId, TokenBucket>();

  /** Counts the first attempt of a request. */
  recordRequest(team: TeamId, endpoint: EndpointId): void {
    this.listBuckets(team, endpoint).forEach((bucket) => bucket.recordRequest());
  }

  /** Spends a token of each budget, or none of any. */
  takeRetry(team: TeamId, endpoint: EndpointId, stage: RetryStage): boolean {
    const buckets = this.listBuckets(team, endpoint);
    if (!buckets.every((bucket) => bucket.has(KEPT_TOKENS[stage]))) return false;
    buckets.forEach((bucket) => bucket.take());
    return true;
  }

  private listBuckets(team: TeamId, endpoint: EndpointId): TokenBucket[] {
    return [this.node, findBucket(this.teams, team), findBucket(this.endpoints, endpoint)];
  }
}
