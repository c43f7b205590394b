import type { Gauge } from '../../observe/render-metrics.js';

/** Lists how many pieces of work exceptions have ended without the process, by kind of work. */
export const listContainedGauge = (counts: ReadonlyMap<string, number>): Gauge => ({
  metric: 'savorywind_failed_work_total',
  help: 'Pieces of work that an exception has ended, by kind; only their owners were failed.',
  type: 'counter',
  value: [...counts].map(([work, value]) => ({ labels: { work }, value })),
});
