import type { Readable } from 'node:stream';

/** Lets a caller that reads slowly hold back the endpoint that sends its answer. */
export class OutputFlow {
  private source: Readable | undefined;

  private held = false;

  /** Puts the endpoint's answer under the control of this flow. */
  attach(source: Readable): void {
    this.source = source;
    if (this.held) source.pause();
  }

  hold(): void {
    this.held = true;
    this.source?.pause();
  }

  release(): void {
    if (!this.held) return;
    this.held = false;
    this.source?.resume();
  }
}
