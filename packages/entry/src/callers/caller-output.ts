import type { ServerResponse } from 'node:http';
import type { OutputFlow } from './output-flow.js';

export interface OutputLimits {
  readonly maxOutputBytes: number;
  readonly callerStallMs: number;
}

/**
 * Writes an answer to its caller with bounded memory. A plain service is held back while its caller
 * is behind. An engine can't be held back without holding its memory, so a caller that is too far
 * behind is given up; so is one that reads nothing for a time. Giving up closes the connection, which
 * cancels the request.
 */
export class CallerOutput {
  private stallTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly flow: OutputFlow,
    private readonly limits: OutputLimits,
    private readonly onGivenUp: () => void,
  ) {
    response.on('drain', () => this.acceptDrain());
    response.on('close', () => this.acceptClose());
  }

  write(data: string | Uint8Array): void {
    const { response, flow, limits } = this;
    if (response.destroyed || response.write(data)) return;
    flow.hold();
    if (response.writableLength > limits.maxOutputBytes) this.giveUp();
    else this.armStallTimer();
  }

  end(data?: string): void {
    this.response.end(data);
    this.armStallTimer();
  }

  private acceptDrain(): void {
    clearTimeout(this.stallTimer);
    this.stallTimer = undefined;
    this.flow.release();
  }

  /** The endpoint may have to go on without a caller, to store the answer of a claimed call. */
  private acceptClose(): void {
    clearTimeout(this.stallTimer);
    this.flow.release();
  }

  private armStallTimer(): void {
    if (this.stallTimer !== undefined || this.response.writableFinished) return;
    this.stallTimer = setTimeout(() => this.giveUp(), this.limits.callerStallMs);
  }

  private giveUp(): void {
    if (this.response.destroyed) return;
    this.onGivenUp();
    this.response.destroy();
  }
}
