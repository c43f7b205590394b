import type {
  EntryVmId,
  ModelContract,
  MonotonicMs,
  RequestId,
  TeamDeclaration,
  TeamDemand,
  TeamId,
} from '@savorywind/model';
import { ShareBucket } from './share-bucket.js';

const MS_PER_S = 1_000;

/** Part of a failure domain's share that its entry VMs get alike; the rest follows demand. */
const EQUAL_PART = 0.2;

/** Weight of the last round in the smoothed demand. */
const SMOOTHING = 0.3;

/** Demand below this is not told, in requests a second. */
const LEAST_DEMAND = 0.05;

/** How long the demand of a peer that tells nothing counts, in milliseconds. */
const DEMAND_LIMIT_MS = 10_000;

/** A refusal over memory is worth another try after this time, in milliseconds. */
const MEMORY_RETRY_MS = 1_000;

interface PeerDemand {
  readonly requests: number;
  readonly tokens: number;
  readonly toldAtMs: MonotonicMs;
}

interface TeamAccount {
  readonly requests: ShareBucket;
  readonly tokens: ShareBucket;
  /** Asked for since the last round, whether it was let in or not. */
  askedRequests: number;
  askedTokens: number;
  demandRequests: number;
  demandTokens: number;
  memoryTokens: number;
  readonly peers: Map<EntryVmId, PeerDemand>;
}

/** How many entry VMs share a limit. */
export interface LimitPlaces {
  /** All entry VMs that are known, reachable or not: a cut does not make a share grow. */
  readonly known: number;
  /** Those of this failure domain, this one included. */
  readonly near: number;
}

/**
 * Limits of teams, split over entry VMs. A failure domain's share is fixed by the number of its
 * entry VMs, so that a cut between domains can't raise the sum; within a domain shares follow the
 * demand that its entry VMs tell each other once a round. No request needs a message.
 */
export class TeamLimits {
  private readonly accounts = new Map<TeamId, TeamAccount>();

  private readonly held = new Map<RequestId, { readonly team: TeamId; readonly tokens: number }>();

  private places: LimitPlaces = { known: 1, near: 1 };

  private roundAtMs: MonotonicMs = 0;

  constructor(private readonly findTeam: (team: TeamId) => TeamDeclaration | undefined) {}

  setPlaces(places: LimitPlaces): void {
    this.places = places;
  }

  /** Takes a request in: 0, or the time after which it is worth asking again, in milliseconds. */
  admit(contract: ModelContract, nowMs: MonotonicMs): number {
    const limits = this.findTeam(contract.team)?.limits;
    if (limits === undefined || Object.keys(limits).length === 0) return 0;
    const account = this.findAccount(contract.team);
    const tokens = contract.promptTokens + contract.maxOutputTokens;
    account.askedRequests += 1;
    account.askedTokens += tokens;
    const { requestsPerS, tokensPerS, memoryTokens } = limits;
    const share = this.measureShare(account, nowMs);
    const waits = [
      requestsPerS === undefined ? 0 : account.requests.measureWaitMs(requestsPerS * share, nowMs),
      tokensPerS === undefined ? 0 : account.tokens.measureWaitMs(tokensPerS * share, nowMs),
      TeamLimits.measureMemoryWaitMs(account, tokens, memoryTokens, share),
    ];
    const waitMs = Math.max(...waits);
    if (waitMs > 0) return waitMs;
    account.requests.take(1);
    account.tokens.take(tokens);
    account.memoryTokens += tokens;
    this.held.set(contract.requestId, { team: contract.team, tokens });
    return 0;
  }

  /** Gives the memory of a request back; does nothing the second time. */
  release(requestId: RequestId): void {
    const held = this.held.get(requestId);
    if (held === undefined) return;
    this.held.delete(requestId);
    this.findAccount(held.team).memoryTokens -= held.tokens;
  }

  acceptDemands(peer: EntryVmId, demands: readonly TeamDemand[], nowMs: MonotonicMs): void {
    demands.forEach(({ team, requests, tokens }) => {
      this.findAccount(team).peers.set(peer, { requests, tokens, toldAtMs: nowMs });
    });
  }

  /** Demand of the last round, a second, of the teams that have any. */
  takeDemands(nowMs: MonotonicMs): TeamDemand[] {
    const elapsedS = Math.max(1, nowMs - this.roundAtMs) / MS_PER_S;
    this.roundAtMs = nowMs;
    const demands: TeamDemand[] = [];
    this.accounts.forEach((account, team) => {
      const { askedRequests, askedTokens } = account;
      account.askedRequests = 0;
      account.askedTokens = 0;
      account.demandRequests += SMOOTHING * (askedRequests / elapsedS - account.demandRequests);
      account.demandTokens += SMOOTHING * (askedTokens / elapsedS - account.demandTokens);
      if (account.demandRequests > LEAST_DEMAND) {
        const requests = Math.round(account.demandRequests * 100) / 100;
        demands.push({ team, requests, tokens: Math.round(account.demandTokens) });
      } else if (account.memoryTokens === 0 && account.peers.size === 0) {
        this.accounts.delete(team);
      }
    });
    return demands;
  }

  /** This entry VM's share of a team's limits. */
  private measureShare(account: TeamAccount, nowMs: MonotonicMs): number {
    const { known, near } = this.places;
    const domainShare = near / known;
    const equal = 1 / near;
    let sum = account.demandRequests;
    account.peers.forEach(({ requests, toldAtMs }, peer) => {
      if (toldAtMs < nowMs - DEMAND_LIMIT_MS) account.peers.delete(peer);
      else sum += requests;
    });
    const followed = sum > 0 ? account.demandRequests / sum : equal;
    return domainShare * (EQUAL_PART * equal + (1 - EQUAL_PART) * followed);
  }

  /** One request may be larger than a share; it is let in where the team holds nothing else here. */
  private static measureMemoryWaitMs(
    account: TeamAccount,
    tokens: number,
    limit: number | undefined,
    share: number,
  ): number {
    if (limit === undefined) return 0;
    const fits = account.memoryTokens + tokens <= limit * share;
    return fits || (account.memoryTokens === 0 && tokens <= limit) ? 0 : MEMORY_RETRY_MS;
  }

  private findAccount(team: TeamId): TeamAccount {
    let account = this.accounts.get(team);
    if (account === undefined) {
      account = {
        requests: new ShareBucket(),
        tokens: new ShareBucket(),
        askedRequests: 0,
        askedTokens: 0,
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
