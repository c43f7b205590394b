import type { IncomingMessage } from 'node:http';

/**
 * Largest part of a response that is not its body, in bytes: empty lines, informational responses,
 * headers, chunk headers and trailers. Node accepts headers of 16 KB, but as many informational
 * responses and empty lines before them as an endpoint sends.
 */
const MAX_FRAMING_BYTES = 65_536;

/**
 * Additional framing bytes that are permitted for each byte of the body. Chunks of one byte need five.
 */
const MAX_FRAMING_PER_BODY_BYTE = 8;

/**
 * Limits the bytes of one response that are not its body. They are never delivered, so an endpoint
 * could send them without end.
 */
export class FramingLimit {
  private receivedBytes = 0;

  private bodyBytes = 0;

  private response: IncomingMessage | undefined;

  private isStopped = false;

  /** @param onExceeded called once; the connection must be closed then */
  constructor(private readonly onExceeded: (detail: string) => void) {}

  /** Counts the body of the response from now on. Its reader must be attached at the same time. */
  attach(response: IncomingMessage): void {
    this.response = response;
    response.on('data', (chunk: Buffer) => {
      this.bodyBytes += chunk.length;
    });
  }

  /** Stops counting, because the connection is closed or is used for another request. */
  stop(): void {
    this.isStopped = true;
  }

  /** Counts bytes that the parser of the response has just handled. */
  add(bytes: number): void {
    if (this.isStopped) return;
    this.receivedBytes += bytes;
    const bodyBytes = this.bodyBytes + (this.response?.readableLength ?? 0);
    const framingBytes = this.receivedBytes - bodyBytes;
    if (framingBytes <= MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * bodyBytes) return;
    this.stop();
    this.onExceeded(`response has more than ${MAX_FRAMING_BYTES} bytes outside of its body`);
  }
}
