/** Splits a stream of bytes into the data of server-sent events. */
export class SseParser {
  private rest = '';

  private readonly decoder = new TextDecoder();

  constructor(private readonly onData: (data: string) => void) {}

  push(bytes: Uint8Array): void {
    this.rest += this.decoder.decode(bytes, { stream: true });
    let start = 0;
    for (;;) {
      const end = this.rest.indexOf('\n\n', start);
      if (end < 0) break;
      this.emitBlock(this.rest.slice(start, end));
      start = end + 2;
    }
    this.rest = this.rest.slice(start);
  }

  private emitBlock(block: string): void {
    if (block.startsWith('data: ')) this.onData(block.slice('data: '.length));
  }
}
