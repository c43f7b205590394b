import process from 'node:process';
import type { Gauge } from './render-metrics.js';

/** Values that every process shows: its memory, and what its log left out. */
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
