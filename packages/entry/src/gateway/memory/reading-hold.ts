import type { IncomingMessage } from 'node:http';
import { nextTick } from 'node:process';

/**
 * Holds the reading of a message whose receiver is slower than its sender, behind what was read at once. A stream that is paused in the middle of it
 * keeps the rest chunk by chunk, some three hundred bytes for each, however small.
 *
 * @example
 * const hold = new ReadingHold(response);
 * hold.hold();
 * hold.release();
 */
export class ReadingHold {
  private isWanted = false;

  private isHeld = false;

  constructor(private readonly message: IncomingMessage) {}

  /** Stops reading behind what has arrived, unless the message is complete. */
  hold(): void {
    this.isWanted = true;
    nextTick(() => this.apply());
  }

  /** Reads on. */
  release(): void {
    this.isWanted = false;
    this.apply();
  }

  private apply(): void {
    const { message } = this;
    if (!this.isWanted) this.readOn();
    else if (!this.isHeld && !message.complete && !message.destroyed) {
      this.isHeld = true;
      message.pause();
      message.socket.pause();
    }
  }

  private readOn(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.message.resume();
    // The stream takes its pending read for granted, and would not let the socket go on.
    if (!this.message.complete) this.message.socket.resume();
  }
}
