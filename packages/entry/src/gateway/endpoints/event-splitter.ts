/** One complete server-sent event: its unchanged bytes, and its id if it has one that can be sent back. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /^id: ?(.*)$/m;

/**
 * Ids that a header can hold (RFC 9110, section 5.5), as a resumed stream sends the last one back. Their
 * length is bounded well below the 8 KB of a request's head that servers commonly accept.
 */
const HEADER_VALUE = /^[\x21-\x7e\x80-\xff][\x20-\x7e\x80-\xff]{0,1023}$/;

/** Largest event, in bytes. Engines send a few tokens per event, so a larger one is invalid. */
const MAX_EVENT_BYTES = 1_048_576;

/** Finds the index after the next empty line, or -1. */
const findEventEnd = (bytes: Buffer, from: number): number => {
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
  const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1] ?? '';
  return { bytes, id: HEADER_VALUE.test(id) ? id : undefined };
};

/**
 * Splits a stream of server-sent events into complete events, without changing their bytes. An event
 * that the engine did not finish is never returned.
 *
 * @example
 * const splitter = new EventSplitter();
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')); // one event, with id 1
 */
export class EventSplitter {
  private partialEvent: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Whether the incomplete event exceeds the size limit. */
  get isEventTooLong(): boolean {
    return this.partialEvent.length > MAX_EVENT_BYTES;
  }

  /** Adds bytes of the stream and returns the events that are complete now. */
  add(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let bytes = this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk]);
    for (let end = findEventEnd(bytes, 1); end > 0; end = findEventEnd(bytes, 1)) {
      events.push(parseEvent(bytes.subarray(0, end)));
      bytes = bytes.subarray(end);
    }
    this.partialEvent = bytes;
    return events;
  }
}
