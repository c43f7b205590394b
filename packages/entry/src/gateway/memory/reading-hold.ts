import type { IncomingMessage } from 'node:http';
import { nextTick } from 'node:process';

/** Why a message is not read on. */
export type HoldReason =
  /** Its receiver is slower than its sender. */
  | 'receiver'
  /** Others have their turn first. */
  | 'turn';

/**
 * Holds the reading of a message behind what was read at once. A stream that is paused in the middle of it
 * keeps the rest chunk by chunk, some three hundred bytes for each, however small.
 *
 * @example
 * const hold = new ReadingHold(response);
 * hold.hold('receiver');
 * hold.release('receiver');
 */
export class ReadingHold {
  private readonly reasons = new Set<HoldReason>();

  private isHeld = false;

  constructor(private readonly message: IncomingMessage) {}

  /** Stops reading behind what has arrived, unless the message is complete. */
  hold(reason: HoldReason): void {
    this.reasons.add(reason);
    nextTick(() => this.apply());
  }

  /** Reads on, unless there is another reason not to. */
  release(reason: HoldReason): void {
    this.reasons.delete(reason);
    this.apply();
  }

  private apply(): void {
    const { message, reasons } = this;
    if (reasons.size === 0) this.readOn();
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
