import type { ReportedLoad } from './types.js';

interface Sample {
  readonly atMs: number;
  readonly load: ReportedLoad;
}

const IDLE: ReportedLoad = { usedMemoryTokens: 0, runningStreams: 0, queuedPromptTokens: 0 };

/** Load samples of an engine; reports the load as it was `lagMs` ago. */
export class LoadHistory {
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

  /** Drops all samples before the newest one that is at least `lagMs` old. */
  private dropOutdated(): void {
    const cutoffMs = performance.now() - this.lagMs;
    const firstNewerIndex = this.samples.findIndex(({ atMs }) => atMs > cutoffMs);
    const count = firstNewerIndex === -1 ? this.samples.length : firstNewerIndex;
    if (count > 1) this.samples.splice(0, count - 1);
  }
}
