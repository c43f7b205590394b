import process from 'node:process';
import type { Gauge } from './render-metrics.js';

/** Lists the gauges that every process exports: dropped log lines and resident memory. */
export const listProcessGauges = (droppedLogLines: number): Gauge[] => [
  {
    metric: 'savorywind_log_lines_dropped',
    help: 'Log lines dropped because the reader of the log was too slow.',
    value: droppedLogLines,
  },
  {
    metric: 'savorywind_resident_memory_bytes',
    help: 'Resident memory of this process.',
    value: process.memoryUsage.rss(),
  },
];
