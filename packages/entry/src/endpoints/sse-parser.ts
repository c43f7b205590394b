/** Longest accepted event, in characters; each event of an engine holds one token. */
export const MAX_EVENT_CHARACTERS = 1_048_576;

const EVENT_END = '\n\n';
const DATA_PREFIX = 'data: ';

/** Parses a byte stream of server-sent events and reports the data of each. */
export class SseParser {
  private buffer = '';

  private readonly decoder = new TextDecoder();

  constructor(private readonly onData: (data: string) => void) {}

  /** @returns false if an event exceeds the limit; `push` must not be called again then */
  push(bytes: Uint8Array): boolean {
    this.buffer += this.decoder.decode(bytes, { stream: true });
    let start = 0;
    for (;;) {
      const end = this.buffer.indexOf(EVENT_END, start);
      if (end < 0) break;
      this.emitEvent(this.buffer.slice(start, end));
      start = end + EVENT_END.length;
    }
    this.buffer = this.buffer.slice(start);
    return this.buffer.length <= MAX_EVENT_CHARACTERS;
  }

  private emitEvent(event: string): void {
    if (event.startsWith(DATA_PREFIX)) this.onData(event.slice(DATA_PREFIX.length));
  }
}
