import type { EndpointId, TeamId } from '@savorywind/model';
import {
  RETRY_TOKENS_PER_REQUEST,
  RETRY_TOKENS_RESERVED_FOR_STREAMS,
  RETRY_BURST,
} from './consts.js';
import { TokenBucket } from './token-bucket.js';

const createBucket = (): TokenBucket => new TokenBucket(RETRY_BURST, RETRY_TOKENS_PER_REQUEST);

const findBucket = (buckets: Map<string, TokenBucket>, name: string): TokenBucket => {
  const found = buckets.get(name);
  if (found !== undefined) return found;
  const bucket = createBucket();
  buckets.set(name, bucket);
  return bucket;
};

/** Whether the caller already has a part of the response (`begun`). */
export type RetryStage = 'unanswered' | 'begun';

const RESERVED_TOKENS: Readonly<Record<RetryStage, number>> = {
  unanswered: RETRY_TOKENS_RESERVED_FOR_STREAMS,
  begun: 0,
};

/**
 * Limits retries to a fraction of the requests, by a budget each for the entry VM, the team and the
 * endpoint. A retry takes a token of all three, so that neither one team nor one endpoint uses up
 * the retries of the others. The last tokens are reserved for responses that have begun, because a
 * request without any response can still be refused.
 *
 * @example
 * const budgets = new RetryBudgets();
 * budgets.recordRequest('counter', 'engine-a1');
 * if (budgets.takeRetry('counter', 'engine-a2', 'unanswered')) retry();
 */
export class RetryBudgets {
  private readonly entryVm = createBucket();

  private readonly teams = new Map<TeamId, TokenBucket>();

  private readonly endpoints = new Map<EndpointId, TokenBucket>();

  /** Adds the tokens for the first attempt of a request. */
  recordRequest(team: TeamId, endpoint: EndpointId): void {
    this.listBuckets(team, endpoint).forEach((bucket) => bucket.recordRequest());
  }

  /** Takes one token of each budget, or none if one of them is used up. */
  takeRetry(team: TeamId, endpoint: EndpointId, stage: RetryStage): boolean {
    const buckets = this.listBuckets(team, endpoint);
    if (!buckets.every((bucket) => bucket.has(RESERVED_TOKENS[stage]))) return false;
    buckets.forEach((bucket) => bucket.take());
    return true;
  }

  private listBuckets(team: TeamId, endpoint: EndpointId): TokenBucket[] {
    return [this.entryVm, findBucket(this.teams, team), findBucket(this.endpoints, endpoint)];
  }
}
