import type {
  EntryVmId,
  ModelContract,
  MonotonicMs,
  RequestId,
  TeamDeclaration,
  TeamDemand,
  TeamId,
} from '@savorywind/model';
import { DebtTokenBucket } from './debt-token-bucket.js';

const MS_PER_S = 1_000;

/** Weight of the equal split within a failure domain; the rest of the weight follows demand. */
const EQUAL_WEIGHT = 0.2;

/** Weight of the latest round in the moving average of the demand. */
const SMOOTHING_FACTOR = 0.3;

/** Demand up to this is not reported to peers, in requests a second. */
const MIN_REPORTED_DEMAND = 0.05;

/** Time for which a peer's last reported demand counts, in milliseconds. */
const DEMAND_EXPIRY_MS = 10_000;

/** Retry-after time of a refusal by the memory limit, in milliseconds. */
const MEMORY_RETRY_AFTER_MS = 1_000;

interface PeerDemand {
  readonly requests: number;
  readonly tokens: number;
  readonly receivedAtMs: MonotonicMs;
}

/** Usage and demand of one team at this entry VM. */
interface TeamAccount {
  readonly requests: DebtTokenBucket;
  readonly tokens: DebtTokenBucket;
  /** Requests since the last round, admitted or not. */
  offeredRequests: number;
  offeredTokens: number;
  /** Moving average of the offered requests, per second. */
  demandRequests: number;
  /** Moving average of the offered tokens, per second. */
  demandTokens: number;
  /** Tokens of admitted requests that are not released yet. */
  memoryTokens: number;
  readonly peers: Map<EntryVmId, PeerDemand>;
}

/** Numbers of entry VMs that share a limit. */
export interface EntryVmCounts {
  /** All known entry VMs, reachable or not, so that a network partition does not raise a share. */
  readonly total: number;
  /** Entry VMs of this failure domain, including this one. */
  readonly local: number;
}

/**
 * Enforces the limits of teams, split over the entry VMs. The share of a failure domain is fixed by
 * its number of entry VMs, so that a partition between domains can't raise the sum. Within a domain
 * the shares follow the demand that the entry VMs report to each other once a round. Admission
 * needs no message.
 */
export class TeamLimits {
  private readonly accounts = new Map<TeamId, TeamAccount>();

  private readonly admitted = new Map<
    RequestId,
    { readonly team: TeamId; readonly tokens: number }
  >();

  private entryVmCounts: EntryVmCounts = { total: 1, local: 1 };

  private roundAtMs: MonotonicMs = 0;

  constructor(private readonly findTeam: (team: TeamId) => TeamDeclaration | undefined) {}

  setEntryVmCounts(entryVmCounts: EntryVmCounts): void {
    this.entryVmCounts = entryVmCounts;
  }

  /**
   * Admits a request if the team's limits permit it.
   *
   * @returns 0 if it was admitted, else the time after which to retry, in milliseconds
   */
  admit(contract: ModelContract, nowMs: MonotonicMs): number {
    const limits = this.findTeam(contract.team)?.limits;
    if (limits === undefined || Object.keys(limits).length === 0) return 0;
    const account = this.findAccount(contract.team);
    const tokens = contract.promptTokens + contract.maxOutputTokens;
    account.offeredRequests += 1;
    account.offeredTokens += tokens;
    const { requestsPerS, tokensPerS, memoryTokens } = limits;
    const fraction = this.measureFraction(account, nowMs);
    const waits = [
      requestsPerS === undefined
        ? 0
        : account.requests.measureWaitMs(requestsPerS * fraction, nowMs),
      tokensPerS === undefined ? 0 : account.tokens.measureWaitMs(tokensPerS * fraction, nowMs),
      TeamLimits.measureMemoryWaitMs(account, tokens, memoryTokens, fraction),
    ];
    const waitMs = Math.max(...waits);
    if (waitMs > 0) return waitMs;
    account.requests.take(1);
    account.tokens.take(tokens);
    account.memoryTokens += tokens;
    this.admitted.set(contract.requestId, { team: contract.team, tokens });
    return 0;
  }

  /** Releases the memory of a request. Idempotent. */
  release(requestId: RequestId): void {
    const admitted = this.admitted.get(requestId);
    if (admitted === undefined) return;
    this.admitted.delete(requestId);
    this.findAccount(admitted.team).memoryTokens -= admitted.tokens;
  }

  handleDemands(peer: EntryVmId, demands: readonly TeamDemand[], nowMs: MonotonicMs): void {
    demands.forEach(({ team, requests, tokens }) => {
      this.findAccount(team).peers.set(peer, { requests, tokens, receivedAtMs: nowMs });
    });
  }

  /** Lists the demand of the teams that have any, per second, and starts a new round. */
  takeDemands(nowMs: MonotonicMs): TeamDemand[] {
    const elapsedS = Math.max(1, nowMs - this.roundAtMs) / MS_PER_S;
    this.roundAtMs = nowMs;
    const demands: TeamDemand[] = [];
    this.accounts.forEach((account, team) => {
      const { offeredRequests, offeredTokens } = account;
      account.offeredRequests = 0;
      account.offeredTokens = 0;
      account.demandRequests +=
        SMOOTHING_FACTOR * (offeredRequests / elapsedS - account.demandRequests);
      account.demandTokens += SMOOTHING_FACTOR * (offeredTokens / elapsedS - account.demandTokens);
      if (account.demandRequests > MIN_REPORTED_DEMAND) {
        const requests = Math.round(account.demandRequests * 100) / 100;
        demands.push({ team, requests, tokens: Math.round(account.demandTokens) });
      } else if (account.memoryTokens === 0 && account.peers.size === 0) {
        this.accounts.delete(team);
      }
    });
    return demands;
  }

  /** Measures the fraction of a team's limits that this entry VM may use. */
  private measureFraction(account: TeamAccount, nowMs: MonotonicMs): number {
    const { total, local } = this.entryVmCounts;
    const domainFraction = local / total;
    const equalFraction = 1 / local;
    let sum = account.demandRequests;
    account.peers.forEach(({ requests, receivedAtMs }, peer) => {
      if (receivedAtMs < nowMs - DEMAND_EXPIRY_MS) account.peers.delete(peer);
      else sum += requests;
    });
    const demandFraction = sum > 0 ? account.demandRequests / sum : equalFraction;
    return domainFraction * (EQUAL_WEIGHT * equalFraction + (1 - EQUAL_WEIGHT) * demandFraction);
  }

  /**
   * Measures the retry-after time by the memory limit; 0 if the request fits. A request larger than
   * this entry VM's share is admitted if the team has no other request here.
   */
  private static measureMemoryWaitMs(
    account: TeamAccount,
    tokens: number,
    limit: number | undefined,
    fraction: number,
  ): number {
    if (limit === undefined) return 0;
    const fits = account.memoryTokens + tokens <= limit * fraction;
    return fits || (account.memoryTokens === 0 && tokens <= limit) ? 0 : MEMORY_RETRY_AFTER_MS;
  }

  private findAccount(team: TeamId): TeamAccount {
    let account = this.accounts.get(team);
    if (account === undefined) {
      account = {
        requests: new DebtTokenBucket(),
        tokens: new DebtTokenBucket(),
        offeredRequests: 0,
        offeredTokens: 0,
        demandRequests: 0,
        demandTokens: 0,
        memoryTokens: 0,
        peers: new Map(),
      };
      this.accounts.set(team, account);
    }
    return account;
  }
}
