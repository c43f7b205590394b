import type { EndpointId, TeamId } from '@savorywind/model';
import {
  ENDPOINT_RETRY_BURST,
  NODE_RETRY_BURST,
  RETRIES_EARNED_PER_REQUEST,
  TEAM_RETRY_BURST,
} from './consts.js';
import { TokenBucket } from './token-bucket.js';

const findBucket = (
  buckets: Map<string, TokenBucket>,
  name: string,
  burst: number,
): TokenBucket => {
  const found = buckets.get(name);
  if (found !== undefined) return found;
  const bucket = new TokenBucket(burst, RETRIES_EARNED_PER_REQUEST);
  buckets.set(name, bucket);
  return bucket;
};

/**
 * Bounds retries by what an entry VM, a team and an endpoint have earned. A retry needs a token of
 * each, so that neither one team nor one endpoint uses up what the others have.
 *
 * @example
 * const budgets = new RetryBudgets();
 * budgets.recordRequest('counter', 'engine-a1');
 * if (budgets.takeRetry('counter', 'engine-a2')) retry();
 */
export class RetryBudgets {
  private readonly node = new TokenBucket(NODE_RETRY_BURST, RETRIES_EARNED_PER_REQUEST);

  private readonly teams = new Map<TeamId, TokenBucket>();

  private readonly endpoints = new Map<EndpointId, TokenBucket>();

  /** Counts the first attempt of a request. */
  recordRequest(team: TeamId, endpoint: EndpointId): void {
    this.listBuckets(team, endpoint).forEach((bucket) => bucket.recordRequest());
  }

  /** Spends a token of each budget, or none of any. */
  takeRetry(team: TeamId, endpoint: EndpointId): boolean {
    const buckets = this.listBuckets(team, endpoint);
    if (!buckets.every((bucket) => bucket.has())) return false;
    buckets.forEach((bucket) => bucket.take());
    return true;
  }

  private listBuckets(team: TeamId, endpoint: EndpointId): TokenBucket[] {
    return [
      this.node,
      findBucket(this.teams, team, TEAM_RETRY_BURST),
      findBucket(this.endpoints, endpoint, ENDPOINT_RETRY_BURST),
    ];
  }
}
