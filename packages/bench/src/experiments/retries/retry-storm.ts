import type { ModelContract } from '@savorywind/model';
import { createFakeClock, type FakeClock } from '../../world/clock.js';
import { createEntryVmPlaces, createSmallConfiguration } from '../../world/deployments.js';
import type { FakeCaller } from '../../world/fake-caller.js';
import { CALM_NETWORK } from '../../world/network.js';
import { World } from '../../world/world.js';

export interface RetryStormSettings {
  readonly seed: number;
  readonly requestsPerS: number;
  readonly outputTokens: number;
  readonly timeoutMs: number;
  readonly entryVmsPerDomain: number;
  readonly enginesPerDomain: number;
  /** Share of the engines that die at once. */
  readonly deadShare: number;
}

/** What happened in one span of time. */
export interface RetryStormWindow {
  readonly name: 'before' | 'storm' | 'after';
  readonly admitted: number;
  readonly attempts: number;
  /** Requests to endpoints for each admitted request. */
  readonly amplification: number;
  readonly finished: number;
  readonly refusedByCode: Readonly<Record<string, number>>;
}

export interface RetryStormReport {
  readonly windows: readonly RetryStormWindow[];
  /** Admitted requests that had no final answer when their deadline had passed. */
  readonly unanswered: number;
}

const MS_PER_S = 1_000;
const START_MS = 3_000;
const SPAN_MS = 60_000;
const PROMPT_TOKENS = 1_000;
const TEAMS = ['counter', 'office', 'audit'];

const createContract = (
  { outputTokens, timeoutMs }: RetryStormSettings,
  index: number,
): ModelContract => ({
  kind: 'model',
  requestId: `request-${index}`,
  team: TEAMS[index % TEAMS.length] ?? '',
  timeoutMs,
  digest: `prompt-${index}`,
  model: 'assistant',
  promptTokens: PROMPT_TOKENS,
  maxOutputTokens: outputTokens,
  prefixDigests: [],
});

/** Sends requests in an even rhythm to all entry VMs, whether or not earlier ones were answered. */
const runLoad = (clock: FakeClock, world: World, settings: RetryStormSettings): FakeCaller[] => {
  const vmIds = [...world.entryVms.keys()];
  const first = world.callers.length;
  const count = (SPAN_MS / MS_PER_S) * settings.requestsPerS;
  for (let index = first; index < first + count; index += 1) {
    world.request(vmIds[index % vmIds.length] ?? '', createContract(settings, index));
    clock.advance(MS_PER_S / settings.requestsPerS);
  }
  return world.callers.slice(first);
};

const countRefusals = (callers: readonly FakeCaller[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  callers.forEach(({ outcome }) => {
    if (outcome?.kind !== 'refused') return;
    const { name } = outcome.refusal.code;
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
};

const killEngines = (world: World, deadShare: number): void => {
  const ids = [...world.engines.keys()];
  const step = Math.round(1 / deadShare);
  ids.filter((_id, index) => index % step === 0).forEach((id) => world.killEndpoint(id));
};

const runWorld = (clock: FakeClock, settings: RetryStormSettings): RetryStormReport => {
  const { seed, entryVmsPerDomain, enginesPerDomain, deadShare, timeoutMs } = settings;
  const world = new World({
    seed,
    configuration: createSmallConfiguration(enginesPerDomain),
    entryVms: createEntryVmPlaces(entryVmsPerDomain),
    network: CALM_NETWORK,
  });
  clock.advance(START_MS);
  const spans = (['before', 'storm', 'after'] as const).map((name) => {
    if (name === 'storm') killEngines(world, deadShare);
    const attemptsBefore = world.endpoints.attemptsStarted;
    const callers = runLoad(clock, world, settings);
    return { name, callers, attempts: world.endpoints.attemptsStarted - attemptsBefore };
  });
  clock.advance(timeoutMs + MS_PER_S);
  world.assertAlways();
  const windows = spans.map(({ name, callers, attempts }) => ({
    name,
    admitted: callers.length,
    attempts,
    amplification: attempts / callers.length,
    finished: callers.filter(({ outcome }) => outcome?.kind === 'finished').length,
    refusedByCode: countRefusals(callers),
  }));
  const unanswered = world.callers.filter(({ outcome }) => outcome === undefined).length;
  return { windows, unanswered };
};

/**
 * Kills a share of the engines at once under steady load and counts the requests to endpoints in
 * the minute before, the minute after, and the next.
 *
 * @example
 * runRetryStorm({ seed: 1, requestsPerS: 30, outputTokens: 50, timeoutMs: 10_000,
 *   entryVmsPerDomain: 3, enginesPerDomain: 5, deadShare: 1 / 3 });
 */
export const runRetryStorm = (settings: RetryStormSettings): RetryStormReport => {
  const clock = createFakeClock();
  try {
    return runWorld(clock, settings);
  } finally {
    clock.uninstall();
  }
};
