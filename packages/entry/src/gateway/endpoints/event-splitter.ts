/** A whole event of a stream as it came, with its id if it has one. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*)$/m;

/** An event that is longer breaks the stream; engines send a few tokens at a time. */
const MAX_EVENT_BYTES = 1_048_576;

const findEnd = (bytes: Buffer, from: number): number => {
  for (let index = from; index < bytes.length; index += 1) {
    const before = bytes[index - 1];
    const isEmptyLine =
      bytes[index] === LINE_FEED &&
      (before === LINE_FEED || (before === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED));
    if (isEmptyLine) return index + 1;
  }
  return -1;
};

const parseEvent = (bytes: Buffer): StreamEvent => {
  const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1]?.replace(/\r$/, '');
  return { bytes, id };
};

/**
 * Cuts a stream of server-sent events into whole events, whose bytes stay unchanged. What an engine
 * stopped in the middle of is never passed on.
 *
 * @example
 * const splitter = new EventSplitter();
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')); // one event, with the id 1
 */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Whether bytes of an unfinished event are held. */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /** Whether the unfinished event is longer than any event may be. */
  get isTooLong(): boolean {
    return this.rest.length > MAX_EVENT_BYTES;
  }

  add(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    for (let end = findEnd(bytes, 1); end > 0; end = findEnd(bytes, 1)) {
      events.push(parseEvent(bytes.subarray(0, end)));
      bytes = bytes.subarray(end);
    }
    this.rest = bytes;
    return events;
  }
}
