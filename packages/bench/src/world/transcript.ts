/** Lines of what the machines of a world did, with the time since its start. */
export class Transcript {
  private readonly entries: string[] = [];

  private readonly startMs = performance.now();

  constructor(private readonly maxEntries: number) {}

  record(text: string): void {
    if (this.entries.length >= this.maxEntries) return;
    const seconds = ((performance.now() - this.startMs) / 1_000).toFixed(3);
    this.entries.push(`${seconds.padStart(9)} ${text}`);
  }

  format(): string {
    return `${this.entries.join('\n')}\n`;
  }
}
