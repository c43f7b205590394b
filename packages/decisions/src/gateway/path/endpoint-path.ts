import {
  logEvents,
  type EndpointId,
  type GatewayEndpoint,
  type MonotonicMs,
  type ServiceId,
} from '@savorywind/model';
import type { Timer } from '../../timers/timer-queue.js';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import {
  LOST_ROUND_INTERVAL_MS,
  MAX_ROUNDS_TO_REGAIN,
  MIN_ROUND_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  PROBES_PER_ROUND,
  PROVEN_MS,
  REPEATED_LOSS_MS,
  ROUNDS_TO_REGAIN,
  SILENCE_MS,
} from './consts.js';
import { ProbeRound, type ProbeOutcome } from './probe-round.js';

/** What metrics show of the path to the endpoints of a service. */
export interface PathUsage {
  readonly service: ServiceId;
  readonly isLost: boolean;
  /** Time since the path was lost, in milliseconds; 0 while it is open. */
  readonly lostForMs: number;
  /** How often the path was lost. */
  readonly losses: number;
  /** Connections that were opened, or tried, as probes. */
  readonly probes: number;
}

export interface EndpointPathOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  /** Whether a connection may be opened to an endpoint only to see whether there is a path. */
  readonly mayProbe: (endpoint: GatewayEndpoint) => boolean;
  readonly service: ServiceId;
  /** Called when no endpoint can be connected to any more. */
  readonly onLost: () => void;
  /** Called when endpoints can be connected to again. */
  readonly onRegained: () => void;
}

/**
 * Tells a lost network path of this entry VM to the endpoints of a service from endpoints that fail. One
 * endpoint that refuses connections, is silent or resets a stream says nothing of the others, so each such
 * sign only starts a round of probes: connections to a few endpoints of all failure domains. The path is lost when none of
 * them connects. It is open again when rounds of probes succeed, more of them if it was lost repeatedly.
 *
 * Responses on open connections don't count: a firewall or a router that refuses new connections may
 * leave those alone.
 *
 * @example
 * path.recordLoss(); // emits `path.probe` for some endpoints
 * path.handleProbed('engine-1', 'failed');
 * path.isLost; // true if this was the only probe
 */
export class EndpointPath {
  private round: ProbeRound | undefined;

  private roundStartedAtMs: MonotonicMs = Number.NEGATIVE_INFINITY;

  private roundTimer: Timer | undefined;

  /** When the last round succeeded. */
  private provenAtMs: MonotonicMs = Number.NEGATIVE_INFINITY;

  private lostAtMs: MonotonicMs | undefined;

  /** Endpoints that could not be connected to when the path was lost. */
  private failedAtLoss = 0;

  private regainedAtMs: MonotonicMs = Number.NEGATIVE_INFINITY;

  /** Successful rounds since the path was lost. */
  private successes = 0;

  private roundsToRegain = ROUNDS_TO_REGAIN;

  private openAttempts = 0;

  /** When an endpoint last sent something, or attempts became open. */
  private heardAtMs: MonotonicMs = Number.NEGATIVE_INFINITY;

  private silenceTimer: Timer | undefined;

  private losses = 0;

  private probes = 0;

  constructor(private readonly options: EndpointPathOptions) {}

  /** Whether no endpoint can be connected to. */
  get isLost(): boolean {
    return this.lostAtMs !== undefined;
  }

  /** Whether attempts are open and no endpoint has sent anything for a while. */
  get isSilent(): boolean {
    const silentMs = this.options.context.nowMs - this.heardAtMs;
    return this.openAttempts > 0 && silentMs >= SILENCE_MS;
  }

  /** Whether the path is lost to more endpoints than one request ends at a time. */
  get isLostToMany(): boolean {
    return this.isLost && this.failedAtLoss >= PROBES_PER_ROUND;
  }

  get usage(): PathUsage {
    const { isLost, losses, probes } = this;
    const { context, service } = this.options;
    const { nowMs } = context;
    return { service, isLost, lostForMs: nowMs - (this.lostAtMs ?? nowMs), losses, probes };
  }

  /** Records that a request was sent to an endpoint. */
  recordAttempt(): void {
    this.openAttempts += 1;
    if (this.openAttempts === 1) this.recordResponse();
    this.silenceTimer ??= this.armSilenceTimer(SILENCE_MS);
  }

  recordAttemptEnd(): void {
    this.openAttempts -= 1;
  }

  /** Records that an endpoint sent something. */
  recordResponse(): void {
    this.heardAtMs = this.options.context.nowMs;
  }

  /** Records that a connection to an endpoint could not be opened or was lost, or that it is silent. */
  recordLoss(): void {
    if (!this.isLost) this.scheduleRound();
  }

  handleProbed(endpoint: EndpointId, outcome: ProbeOutcome): void {
    const { round } = this;
    if (round === undefined) return;
    round.record(endpoint, outcome);
    if (!round.isComplete) return;
    this.round = undefined;
    if (round.hasSucceeded) this.provenAtMs = this.options.context.nowMs;
    if (!this.isLost && round.hasFailed) this.lose(round.failed);
    else if (this.isLost) this.reviewLoss(round);
  }

  private lose(failed: number): void {
    const { context, service, onLost } = this.options;
    const isRepeated = context.nowMs - this.regainedAtMs < REPEATED_LOSS_MS;
    this.roundsToRegain = isRepeated
      ? Math.min(2 * this.roundsToRegain, MAX_ROUNDS_TO_REGAIN)
      : ROUNDS_TO_REGAIN;
    this.lostAtMs = context.nowMs;
    this.failedAtLoss = failed;
    this.successes = 0;
    this.losses += 1;
    context.log(logEvents.endpointPathLost, {
      service,
      failed,
      openAttempts: this.openAttempts,
      silentMs: Math.round(context.nowMs - this.heardAtMs),
    });
    this.armRoundTimer(LOST_ROUND_INTERVAL_MS);
    onLost();
  }

  private reviewLoss(round: ProbeRound): void {
    this.successes = round.hasSucceeded ? this.successes + 1 : 0;
    if (this.successes < this.roundsToRegain) {
      this.armRoundTimer(LOST_ROUND_INTERVAL_MS);
      return;
    }
    const { context, service, onRegained } = this.options;
    const lostForMs = Math.round(this.usage.lostForMs);
    this.lostAtMs = undefined;
    this.regainedAtMs = context.nowMs;
    context.log(logEvents.endpointPathRegained, { service, lostForMs });
    onRegained();
  }

  /** Starts a round now, or as soon as the last one is long enough ago. */
  private scheduleRound(): void {
    if (this.round !== undefined || this.roundTimer !== undefined) return;
    const elapsedMs = this.options.context.nowMs - this.roundStartedAtMs;
    if (elapsedMs >= MIN_ROUND_INTERVAL_MS) this.startRound();
    else this.armRoundTimer(MIN_ROUND_INTERVAL_MS - elapsedMs);
  }

  private armRoundTimer(delayMs: number): void {
    this.roundTimer?.cancel();
    this.roundTimer = this.options.context.schedule(delayMs, () => {
      this.roundTimer = undefined;
      this.startRound();
    });
  }

  private startRound(): void {
    if (this.round !== undefined) return;
    const { context } = this.options;
    const endpoints = this.pickEndpoints();
    if (endpoints.length === 0) {
      if (this.isLost) this.armRoundTimer(LOST_ROUND_INTERVAL_MS);
      return;
    }
    this.roundStartedAtMs = context.nowMs;
    this.round = new ProbeRound(endpoints.map(({ id }) => id));
    this.probes += endpoints.length;
    endpoints.forEach((endpoint) =>
      context.emit({ kind: 'path.probe', endpoint, timeoutMs: PROBE_TIMEOUT_MS }),
    );
  }

  /** Picks endpoints at random, of as many failure domains as there are. */
  private pickEndpoints(): GatewayEndpoint[] {
    const { context, table, mayProbe, service } = this.options;
    const shuffled = table
      .listServing(service)
      .filter(mayProbe)
      .map((endpoint) => ({ endpoint, random: context.drawRandom() }))
      .sort((a, b) => a.random - b.random)
      .map(({ endpoint }) => endpoint);
    const seen = new Set<string>();
    const firsts = shuffled.filter(({ failureDomain }) => {
      const isFirst = !seen.has(failureDomain);
      seen.add(failureDomain);
      return isFirst;
    });
    return [...new Set([...firsts, ...shuffled])].slice(0, PROBES_PER_ROUND);
  }

  private armSilenceTimer(delayMs: number): Timer {
    return this.options.context.schedule(delayMs, () => this.checkSilence());
  }

  private checkSilence(): void {
    this.silenceTimer = undefined;
    if (this.openAttempts === 0) return;
    const { nowMs } = this.options.context;
    const dueMs = Math.max(this.heardAtMs + SILENCE_MS, this.provenAtMs + PROVEN_MS);
    if (nowMs >= dueMs && !this.isLost) this.scheduleRound();
    this.silenceTimer = this.armSilenceTimer(nowMs >= dueMs ? SILENCE_MS : dueMs - nowMs);
  }
}
