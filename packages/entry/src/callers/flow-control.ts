import type { Readable } from 'node:stream';

/** Applies backpressure: pauses the endpoint's response while the caller reads slowly. */
export class FlowControl {
  private response: Readable | undefined;

  private isPaused = false;

  /** Sets the response to control; it is paused at once if the caller is already behind. */
  attach(response: Readable): void {
    this.response = response;
    if (this.isPaused) response.pause();
  }

  pause(): void {
    this.isPaused = true;
    this.response?.pause();
  }

  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    this.response?.resume();
  }
}
