import { GrowingBuffer } from './growing-buffer.js';

/**
 * One complete server-sent event, or comments and empty lines between two events: its unchanged bytes,
 * and its id if it has one that can be sent back.
 */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** False for comments and empty lines, which say nothing about the progress of the engine. */
  readonly hasFields: boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const ID_FIELD = /^id: ?(.*)$/m;

/**
 * Ids that a header can hold (RFC 9110, section 5.5), as a resumed stream sends the last one back. Their
 * length is bounded well below the 8 KB of a request's head that servers commonly accept.
 */
const HEADER_VALUE = /^[\x21-\x7e\x80-\xff][\x20-\x7e\x80-\xff]{0,1023}$/;

/** Largest event, in bytes. Engines send a few tokens per event, so a larger one is invalid. */
const MAX_EVENT_BYTES = 262_144;

/** Finds the index after the next empty line, or -1. */
const findEventEnd = (bytes: Buffer, eventStart: number, from: number): number => {
  for (let index = from; index < bytes.length; index += 1) {
    if (bytes[index] === LINE_FEED) {
      const lineEnd = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
      if (lineEnd >= eventStart && bytes[lineEnd] === LINE_FEED) return index + 1;
    }
  }
  return -1;
};

const parseEvent = (bytes: Buffer): StreamEvent => {
  const id = ID_FIELD.exec(bytes.toString('latin1'))?.[1] ?? '';
  return { bytes, id: HEADER_VALUE.test(id) ? id : undefined, hasFields: true };
};

/** Whether a line of the event is neither empty nor a comment. */
const hasFields = (event: Buffer): boolean => {
  for (let lineStart = 0; lineStart < event.length;) {
    const first = event[lineStart];
    if (first !== LINE_FEED && first !== CARRIAGE_RETURN && first !== COLON) return true;
    lineStart = event.indexOf(LINE_FEED, lineStart) + 1;
  }
  return false;
};

/**
 * Splits a stream of server-sent events into complete events, without changing their bytes. An event
 * that the engine did not finish is never returned. Each byte is examined once, however small the chunks
 * are.
 *
 * @example
 * const splitter = new EventSplitter();
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')); // one event, with id 1
 */
export class EventSplitter {
  private readonly partialEvent = new GrowingBuffer();

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.partialEvent.length > 0;
  }

  /** Memory that is taken for the incomplete event, in bytes. */
  get capacity(): number {
    return this.partialEvent.capacity;
  }

  /** Whether the incomplete event exceeds the size limit. */
  get isEventTooLong(): boolean {
    return this.partialEvent.length > MAX_EVENT_BYTES;
  }

  /** Adds bytes of the stream and returns the events that are complete now. */
  add(chunk: Buffer): StreamEvent[] {
    const searchedBytes = this.partialEvent.length;
    // Mostly a chunk is one complete event, which need not be copied.
    const bytes = searchedBytes === 0 ? chunk : this.joinPartialEvent(chunk);
    const events: StreamEvent[] = [];
    let commentStart = 0;
    let start = 0;
    const addComments = (): void => {
      if (start === commentStart) return;
      const comments = bytes.subarray(commentStart, start);
      events.push({ bytes: comments, id: undefined, hasFields: false });
    };
    let end = findEventEnd(bytes, start, searchedBytes);
    while (end > 0) {
      const event = bytes.subarray(start, end);
      if (hasFields(event)) {
        addComments();
        events.push(parseEvent(event));
        commentStart = end;
      }
      start = end;
      end = findEventEnd(bytes, start, start);
    }
    addComments();
    if (start > 0 || searchedBytes === 0) this.keepPartialEvent(bytes.subarray(start));
    return events;
  }

  private joinPartialEvent(chunk: Buffer): Buffer {
    this.partialEvent.append(chunk);
    return this.partialEvent.bytes;
  }

  private keepPartialEvent(bytes: Buffer): void {
    if (this.partialEvent.length > 0) this.partialEvent.take();
    if (bytes.length > 0) this.partialEvent.append(bytes);
  }
}
