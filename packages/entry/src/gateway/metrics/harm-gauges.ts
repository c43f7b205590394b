import type { HarmUsage } from '@savorywind/decisions';
import type { Gauge } from '../../observe/render-metrics.js';

/** Lists what shows which requests are refused because engines crashed under them. */
export const listHarmGauges = (usage: HarmUsage): Gauge[] => [
  {
    metric: 'savorywind_harm_suspects',
    help: 'Parts of prompts under which engines were lost, here or at a peer, and no answer has begun since.',
    value: usage.suspects,
  },
  {
    metric: 'savorywind_harm_blocked_suspects',
    help: 'Suspects whose requests are refused.',
    value: usage.blocked,
  },
  {
    metric: 'savorywind_harm_crashes_total',
    help: 'Losses of engines under unanswered requests of this VM, one for each attempt.',
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
