import type { HarmUsage } from '@savorywind/decisions';
import type { Gauge } from '../../observe/render-metrics.js';

const MS_PER_S = 1_000;

/** Most suspects that are shown by name, so that the metrics stay small. */
const MAX_SHOWN_SUSPECTS = 32;

/** Lists what shows which requests are refused because engines crashed under them. */
export const listHarmGauges = (usage: HarmUsage): Gauge[] => [
  {
    metric: 'savorywind_harm_suspects',
    help: 'Requests and parts of prompts under which endpoints were lost, here or at a peer.',
    value: usage.suspects,
  },
  {
    metric: 'savorywind_harm_blocked_suspects',
    help: 'Suspects whose requests are refused.',
    value: usage.blocked.length,
  },
  {
    metric: 'savorywind_harm_blocked_seconds',
    help: 'Time since this VM has blocked a suspect; the longest blocked ones are shown.',
    value: usage.blocked.slice(0, MAX_SHOWN_SUSPECTS).map(({ suspect, blockedForMs }) => ({
      labels: { suspect },
      value: blockedForMs / MS_PER_S,
    })),
  },
  {
    metric: 'savorywind_harm_crashes_total',
    help: 'Losses of engines under requests of this VM that no answer had proved sound, one for each attempt.',
    type: 'counter',
    value: usage.crashes,
  },
  {
    metric: 'savorywind_harm_refusals_total',
    help: 'Requests that this VM has refused because of a blocked suspect.',
    type: 'counter',
    value: usage.refused,
  },
  {
    metric: 'savorywind_harm_trials_total',
    help: 'Requests with a blocked suspect that this VM has let through as a trial.',
    type: 'counter',
    value: usage.trials,
  },
];
