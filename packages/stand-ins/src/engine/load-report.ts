import type { ReportedLoad } from './types.js';

interface Sample {
  readonly atMs: number;
  readonly load: ReportedLoad;
}

const IDLE: ReportedLoad = { usedMemoryTokens: 0, runningStreams: 0, queuedPromptTokens: 0 };

/** Load of an engine as it was a while ago. */
export class LoadReport {
  private samples: Sample[] = [];

  constructor(private readonly lagMs: number) {}

  record(load: ReportedLoad): void {
    const atMs = performance.now();
    if (this.samples.at(-1)?.atMs === atMs) this.samples.pop();
    this.samples.push({ atMs, load });
    this.dropOutdated();
  }

  read(): ReportedLoad {
    this.dropOutdated();
    const [first] = this.samples;
    if (first === undefined || first.atMs > performance.now() - this.lagMs) return IDLE;
    return first.load;
  }

  /** Keeps the newest sample that is old enough to be reported, and all that are newer. */
  private dropOutdated(): void {
    const untilMs = performance.now() - this.lagMs;
    const newer = this.samples.findIndex(({ atMs }) => atMs > untilMs);
    const count = newer === -1 ? this.samples.length : newer;
    if (count > 1) this.samples.splice(0, count - 1);
  }
}
