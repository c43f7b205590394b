import type { ModelContract } from '@savorywind/model';
import { createFakeClock, type FakeClock } from '../../simulation/fake-clock.js';
import { createEntryVmDomains, createSmallConfiguration } from '../../simulation/deployments.js';
import type { FakeCaller } from '../../simulation/fake-caller.js';
import { RELIABLE_NETWORK } from '../../simulation/fake-network.js';
import { Simulation } from '../../simulation/simulation.js';

/** Settings of one run of the retry storm experiment. */
export interface RetryStormSettings {
  readonly seed: number;
  readonly requestsPerS: number;
  readonly outputTokens: number;
  readonly timeoutMs: number;
  readonly entryVmsPerDomain: number;
  readonly enginesPerDomain: number;
  /** Fraction of the engines that crash simultaneously, from 0 to 1. */
  readonly crashedFraction: number;
}

/** Counts for the requests sent in one phase: before, directly after, or later after the crash. */
export interface RetryStormPhase {
  readonly name: 'before' | 'storm' | 'after';
  readonly admitted: number;
  readonly attempts: number;
  /** Attempts at endpoints per admitted request. */
  readonly amplification: number;
  readonly finished: number;
  readonly refusedByCode: Readonly<Record<string, number>>;
}

/** Result of one run of the retry storm experiment. */
export interface RetryStormReport {
  /** One entry per phase, in time order. */
  readonly phases: readonly RetryStormPhase[];
  /** Requests that had no final response when their deadline had passed. */
  readonly unanswered: number;
}

const MS_PER_S = 1_000;

/** Time for the entry VMs to become ready. */
const STARTUP_MS = 3_000;

/** Duration of each phase. */
const PHASE_MS = 60_000;

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

/** Sends requests at a constant rate, round robin over the entry VMs; awaits no responses. */
const runLoad = (
  clock: FakeClock,
  simulation: Simulation,
  settings: RetryStormSettings,
): FakeCaller[] => {
  const vmIds = [...simulation.entryVms.keys()];
  const first = simulation.callers.length;
  const count = (PHASE_MS / MS_PER_S) * settings.requestsPerS;
  for (let index = first; index < first + count; index += 1) {
    simulation.request(vmIds[index % vmIds.length] ?? '', createContract(settings, index));
    clock.advance(MS_PER_S / settings.requestsPerS);
  }
  return simulation.callers.slice(first);
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

/** Crashes every n-th engine so that about the given fraction crashes. */
const crashEngines = (simulation: Simulation, crashedFraction: number): void => {
  const ids = [...simulation.engines.keys()];
  const step = Math.round(1 / crashedFraction);
  ids.filter((_id, index) => index % step === 0).forEach((id) => simulation.killEndpoint(id));
};

const runSimulation = (clock: FakeClock, settings: RetryStormSettings): RetryStormReport => {
  const { seed, entryVmsPerDomain, enginesPerDomain, crashedFraction, timeoutMs } = settings;
  const simulation = new Simulation({
    seed,
    configuration: createSmallConfiguration(enginesPerDomain),
    entryVms: createEntryVmDomains(entryVmsPerDomain),
    network: RELIABLE_NETWORK,
  });
  clock.advance(STARTUP_MS);
  const runs = (['before', 'storm', 'after'] as const).map((name) => {
    if (name === 'storm') crashEngines(simulation, crashedFraction);
    const attemptsBefore = simulation.endpoints.attemptCount;
    const callers = runLoad(clock, simulation, settings);
    return { name, callers, attempts: simulation.endpoints.attemptCount - attemptsBefore };
  });
  clock.advance(timeoutMs + MS_PER_S);
  simulation.assertInvariants();
  const phases = runs.map(({ name, callers, attempts }) => ({
    name,
    admitted: callers.length,
    attempts,
    amplification: attempts / callers.length,
    finished: callers.filter(({ outcome }) => outcome?.kind === 'finished').length,
    refusedByCode: countRefusals(callers),
  }));
  const unanswered = simulation.callers.filter(({ outcome }) => outcome === undefined).length;
  return { phases, unanswered };
};

/**
 * Crashes a fraction of the engines simultaneously under constant load, and counts attempts,
 * responses and refusals in the minute before the crash and in each of the two minutes after it.
 *
 * @example
 * runRetryStorm({ seed: 1, requestsPerS: 30, outputTokens: 50, timeoutMs: 10_000,
 *   entryVmsPerDomain: 3, enginesPerDomain: 5, crashedFraction: 1 / 3 });
 */
export const runRetryStorm = (settings: RetryStormSettings): RetryStormReport => {
  const clock = createFakeClock();
  try {
    return runSimulation(clock, settings);
  } finally {
    clock.uninstall();
  }
};
