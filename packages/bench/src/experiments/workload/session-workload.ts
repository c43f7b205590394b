import { PREFIX_BLOCK_TOKENS, type ModelContract } from '@savorywind/model';
import { RandomSource } from './random-source.js';
import type { Deployment, PlannedRequest } from './types.js';

const MS_PER_S = 1_000;

/** Blocks with which all prompts of a team's sessions begin. */
const TEAM_PREFIX_BLOCKS = 2;

/** Blocks of a session's first prompt, bounded Pareto distribution. */
const FIRST_BLOCKS = { min: 3, max: 40, shape: 1.1 };

/** Blocks that each further prompt of a session adds. */
const ADDED_BLOCKS = 2;

const TURNS = { min: 2, max: 8 };

/** Mean time between two requests of a session, in milliseconds. */
const MEAN_PAUSE_MS = 20 * MS_PER_S;

/** Blocks of the beginning that many requests of all teams share. */
const HOT_BLOCKS = 16;

/** Tokens after the last whole block of a prompt, and of single short prompts. */
const TAIL_TOKENS = { min: 100, max: 900 };
const SINGLE_TOKENS = { min: 1_000, max: 4_000, shape: 1.2 };

const OUTPUT_TOKENS = { min: 40, max: 400, shape: 1.2 };

const MAX_OUTPUT_TOKENS = 2_000;

const TIMEOUT_MS = 120 * MS_PER_S;

/** Whether a session's requests reach one entry VM, or any of a failure domain. */
export type SessionPath = 'sameVm' | 'sameDomain';

/** Settings of a run with sessions; rates are arrivals per second over the whole fleet. */
export interface SessionSettings {
  readonly deployment: Deployment;
  readonly durationMs: number;
  readonly seed: number;
  readonly path: SessionPath;
  readonly sessionsPerS: number;
  readonly hotPerS: number;
  readonly singlesPerS: number;
}

/** Kind of a request; the first part of its id. */
export type SessionRequestKind = 'first' | 'next' | 'hot' | 'single';

interface DrawnPrompt {
  readonly kind: SessionRequestKind;
  readonly team: number;
  readonly digests: readonly string[];
  readonly promptTokens: number;
}

/** Reads the kind of a request from its id. */
export const parseRequestKind = (requestId: string): SessionRequestKind =>
  requestId.split('-', 1)[0] as SessionRequestKind;

/**
 * Draws sessions whose prompts each begin with the one before, requests that share one long
 * beginning, and single short requests. The same settings give the same requests.
 */
export class SessionWorkload {
  private readonly random: RandomSource;

  private readonly requests: PlannedRequest[] = [];

  constructor(private readonly settings: SessionSettings) {
    this.random = new RandomSource(settings.seed);
  }

  /** Returns all requests by arrival time. */
  listRequests(): PlannedRequest[] {
    const { sessionsPerS, hotPerS, singlesPerS } = this.settings;
    this.drawArrivals(sessionsPerS, (arrivalMs) => this.addSession(arrivalMs));
    this.drawArrivals(hotPerS, (arrivalMs) => this.addHot(arrivalMs));
    this.drawArrivals(singlesPerS, (arrivalMs) => this.addSingle(arrivalMs));
    return this.requests.sort((a, b) => a.arrivalMs - b.arrivalMs);
  }

  private drawArrivals(perS: number, add: (arrivalMs: number) => void): void {
    if (perS === 0) return;
    for (let arrivalMs = 0; ;) {
      arrivalMs += this.random.drawExponential(MS_PER_S / perS);
      if (arrivalMs > this.settings.durationMs) return;
      add(arrivalMs);
    }
  }

  private addSession(startMs: number): void {
    const { random } = this;
    const { durationMs } = this.settings;
    const team = this.drawTeam();
    const session = `s${this.requests.length}`;
    const vm = this.drawVm();
    const turns = TURNS.min + random.drawIndex(TURNS.max - TURNS.min + 1);
    let blocks = Math.floor(
      random.drawPareto(FIRST_BLOCKS.min, FIRST_BLOCKS.max, FIRST_BLOCKS.shape),
    );
    let arrivalMs = startMs;
    for (let turn = 0; turn < turns && arrivalMs <= durationMs; turn += 1) {
      const digests = Array.from({ length: blocks }, (_, index) =>
        index < TEAM_PREFIX_BLOCKS ? `t${team}.${index}` : `${session}.${index}`,
      );
      const kind = turn === 0 ? 'first' : 'next';
      const promptTokens = blocks * PREFIX_BLOCK_TOKENS + this.drawTail();
      this.add({ kind, team, digests, promptTokens }, arrivalMs, this.drawVmOfSession(vm));
      blocks += ADDED_BLOCKS;
      arrivalMs += random.drawExponential(MEAN_PAUSE_MS);
    }
  }

  private addHot(arrivalMs: number): void {
    const digests = Array.from({ length: HOT_BLOCKS }, (_, index) => `hot.${index}`);
    const promptTokens = HOT_BLOCKS * PREFIX_BLOCK_TOKENS + this.drawTail();
    const team = this.drawTeam();
    this.add({ kind: 'hot', team, digests, promptTokens }, arrivalMs, this.drawVm());
  }

  private addSingle(arrivalMs: number): void {
    const { min, max, shape } = SINGLE_TOKENS;
    const promptTokens = Math.ceil(this.random.drawPareto(min, max, shape));
    const blocks = Math.floor(promptTokens / PREFIX_BLOCK_TOKENS);
    const name = `u${this.requests.length}`;
    const digests = Array.from({ length: blocks }, (_, index) => `${name}.${index}`);
    const team = this.drawTeam();
    this.add({ kind: 'single', team, digests, promptTokens }, arrivalMs, this.drawVm());
  }

  private add(
    { kind, team, digests, promptTokens }: DrawnPrompt,
    arrivalMs: number,
    entryVmIndex: number,
  ): void {
    const { min, max, shape } = OUTPUT_TOKENS;
    const requestId = `${kind}-${this.requests.length}`;
    const contract: ModelContract = {
      kind: 'model',
      requestId,
      team: `team-${team}`,
      timeoutMs: TIMEOUT_MS,
      digest: requestId,
      model: 'assistant',
      promptTokens,
      maxOutputTokens: MAX_OUTPUT_TOKENS,
      prefixDigests: digests,
    };
    const outputTokens = Math.round(this.random.drawPareto(min, max, shape));
    this.requests.push({ arrivalMs, entryVmIndex, contract, outputTokens });
  }

  private drawTail(): number {
    return TAIL_TOKENS.min + this.random.drawIndex(TAIL_TOKENS.max - TAIL_TOKENS.min);
  }

  private drawTeam(): number {
    return this.random.drawWeighted(this.settings.deployment.teamRates);
  }

  private drawVm(): number {
    return this.random.drawIndex(this.settings.deployment.entryVms);
  }

  /** VMs are numbered in turn over the failure domains. */
  private drawVmOfSession(vm: number): number {
    const { path, deployment } = this.settings;
    const drawn = this.drawVm();
    if (path === 'sameVm') return vm;
    const { failureDomains } = deployment;
    return drawn - (drawn % failureDomains) + (vm % failureDomains);
  }
}
