import type { ServerResponse } from 'node:http';
import type { FlowControl } from './flow-control.js';

export interface ResponseStreamLimits {
  /** Bytes that may be buffered for a caller that reads slowly. */
  readonly maxOutputBytes: number;
  /** Time within which buffered data must be sent, or the response is aborted, in milliseconds. */
  readonly callerStallMs: number;
}

/**
 * Writes a response body with bounded memory. While the caller reads slowly, a plain service is paused
 * by backpressure. An engine is not paused, because a paused stream would keep its KV cache occupied;
 * instead the response is aborted when its buffer exceeds the limit. Either response is aborted when
 * its buffer does not empty within the stall time. Aborting closes the connection, which cancels the
 * request.
 */
export class ResponseStream {
  private stallTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly flowControl: FlowControl,
    private readonly limits: ResponseStreamLimits,
    private readonly onAborted: () => void,
  ) {
    response.on('drain', () => this.handleDrain());
    response.on('close', () => this.handleClose());
  }

  write(data: string | Uint8Array): void {
    const { response, flowControl, limits } = this;
    if (response.destroyed || response.write(data)) return;
    flowControl.pause();
    if (response.writableLength > limits.maxOutputBytes) this.abort();
    else this.armStallTimer();
  }

  end(data?: string): void {
    this.response.end(data);
    this.armStallTimer();
  }

  private handleDrain(): void {
    clearTimeout(this.stallTimer);
    this.stallTimer = undefined;
    this.flowControl.resume();
  }

  /** Resumes the endpoint, which may have to finish without a caller to store a claimed call's result. */
  private handleClose(): void {
    clearTimeout(this.stallTimer);
    this.flowControl.resume();
  }

  private armStallTimer(): void {
    if (this.stallTimer !== undefined || this.response.writableFinished) return;
    this.stallTimer = setTimeout(() => this.abort(), this.limits.callerStallMs);
  }

  private abort(): void {
    if (this.response.destroyed) return;
    this.onAborted();
    this.response.destroy();
  }
}
