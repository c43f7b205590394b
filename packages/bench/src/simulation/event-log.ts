/** Text log of the events of a simulation, each with its time in seconds since the start. */
export class EventLog {
  private readonly entries: string[] = [];

  private readonly startMs = performance.now();

  constructor(private readonly maxLines: number) {}

  /** Adds a line; drops it if the log already has `maxLines` lines. */
  record(text: string): void {
    if (this.entries.length >= this.maxLines) return;
    const seconds = ((performance.now() - this.startMs) / 1_000).toFixed(3);
    this.entries.push(`${seconds.padStart(9)} ${text}`);
  }

  format(): string {
    return `${this.entries.join('\n')}\n`;
  }
}
