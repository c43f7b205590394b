import process from 'node:process';
import { getHeapStatistics } from 'node:v8';
import type { Gauge } from './render-metrics.js';

const MS_PER_S = 1_000;

/**
 * Lists the gauges that every process exports: dropped log lines, its memory and its start. A start time
 * that has changed shows that the process was restarted.
 */
export const listProcessGauges = (droppedLogLines: number): Gauge[] => {
  const heap = getHeapStatistics();
  const { rss, external } = process.memoryUsage();
  return [
    {
      metric: 'savorywind_log_lines_dropped',
      help: 'Log lines dropped because the reader of the log was too slow or has left.',
      value: droppedLogLines,
    },
    {
      metric: 'savorywind_resident_memory_bytes',
      help: 'Resident memory of this process.',
      value: rss,
    },
    {
      metric: 'savorywind_heap_used_bytes',
      help: 'Heap in use, with what was not collected yet; the process ends when its limit is in use.',
      value: heap.used_heap_size,
    },
    {
      metric: 'savorywind_heap_limit_bytes',
      help: 'Limit of the heap.',
      value: heap.heap_size_limit,
    },
    {
      metric: 'savorywind_external_memory_bytes',
      help: 'Memory outside the heap that objects hold, for example buffers.',
      value: external,
    },
    {
      metric: 'savorywind_start_time_seconds',
      help: 'Start of this process, Unix time.',
      value: performance.timeOrigin / MS_PER_S,
    },
  ];
};
