/** Longest event taken, in characters; an engine's events hold one token each. */
export const MAX_EVENT_CHARACTERS = 1_048_576;

const EVENT_END = '\n\n';
const DATA_FIELD = 'data: ';

/** Splits a stream of bytes into the data of server-sent events. */
export class SseParser {
  private rest = '';

  private readonly decoder = new TextDecoder();

  constructor(private readonly onData: (data: string) => void) {}

  /** @returns false where an event is longer than the limit; nothing more is to be pushed then */
  push(bytes: Uint8Array): boolean {
    this.rest += this.decoder.decode(bytes, { stream: true });
    let start = 0;
    for (;;) {
      const end = this.rest.indexOf(EVENT_END, start);
      if (end < 0) break;
      this.emitBlock(this.rest.slice(start, end));
      start = end + EVENT_END.length;
    }
    this.rest = this.rest.slice(start);
    return this.rest.length <= MAX_EVENT_CHARACTERS;
  }

  private emitBlock(block: string): void {
    if (block.startsWith(DATA_FIELD)) this.onData(block.slice(DATA_FIELD.length));
  }
}
