import { Packr } from 'msgpackr';
import { Err, Ok, type Result } from '@savorywind/model';
import * as z from 'zod';

const MAX_TABLES = 8;

const isBytes = (value: unknown): boolean => value instanceof Uint8Array;

/** Versions and eras of the store count, so that each has a next one. */
const countSchema = z.int().nonnegative();

const eraSchema = countSchema.optional();

const requestSchema = z.object({
  kind: z.literal('request'),
  id: z.number(),
  /** What the sender knows of each table; without a version it gets all rows. */
  positions: z
    .array(
      z.object({
        table: z.string(),
        era: eraSchema,
        version: countSchema.optional(),
      }),
    )
    .max(MAX_TABLES),
});

/** A changed or removed row. */
interface FeedRow {
  readonly key: string;
  readonly value: Uint8Array;
  readonly removed: boolean;
}

const isRow = (value: unknown): value is FeedRow => {
  const row = value as Partial<FeedRow> | null | undefined;
  return typeof row?.key === 'string' && isBytes(row.value) && typeof row.removed === 'boolean';
};

/**
 * Checked by hand, and up to the first wrong row: a schema describes each wrong entry, which for a frame full
 * of them takes more memory than the process has.
 */
const rowsSchema = z
  .custom<FeedRow[]>((value) => Array.isArray(value) && value.every(isRow), 'a row is invalid')
  .transform((rows) => rows.map(({ key, value, removed }) => ({ key, value, removed })));

const contentSchema = z.object({
  table: z.string(),
  kind: z.enum(['snapshot', 'changes']),
  era: eraSchema,
  version: countSchema,
  /** Time since the sender's newest read that was answered had been sent, in milliseconds. */
  ageMs: z.number().nonnegative().max(Number.MAX_SAFE_INTEGER),
  rows: rowsSchema,
});

const responseSchema = z.object({
  kind: z.literal('response'),
  /** That of the request; undefined if the rows have changed without a request. */
  id: z.number().optional(),
  tables: z.array(contentSchema).max(MAX_TABLES),
});

/** The sender does not read the store itself, or has not read all tables yet. */
const refusalSchema = z.object({ kind: z.literal('refusal'), id: z.number() });

const messageSchema = z.discriminatedUnion('kind', [requestSchema, responseSchema, refusalSchema]);

/** A message between an entry VM and the peer that passes on to it what it reads of the store. */
export type TableFeedMessage = z.infer<typeof messageSchema>;

export type TableFeedRequest = z.infer<typeof requestSchema>;

export type TableFeedResponse = z.infer<typeof responseSchema>;

/** Rows of one table that a peer passes on. */
export type TableFeedContent = z.infer<typeof contentSchema>;

/** Path of the WebSocket endpoint. */
export const TABLE_FEED_PATH = '/tables';

/** Largest message, in bytes: 900 registrations and a configuration of 1 MB. */
export const MAX_TABLE_FEED_BYTES = 4_194_304;

/** Largest request of a reader, in bytes: a version for each of a few tables. */
export const MAX_TABLE_REQUEST_BYTES = 65_536;

/** Most fragments of a message; entry VMs send each in one. */
const MAX_FRAGMENTS = 16;

/** Size that reads of an unfinished frame have at least on the whole, in bytes: a small segment of TCP. */
const MIN_READ_BYTES = 512;

/** Limits of a connection of the feed, as an unfinished message takes much more than its bytes. */
export interface TableFeedLimits {
  /** Largest message, in bytes. */
  readonly maxPayload: number;
  readonly maxFragments: number;
  /** Most reads of which an unfinished frame is kept. */
  readonly maxBufferedChunks: number;
}

/**
 * Computes the limits for messages up to a size in bytes, by the names of the WebSocket library.
 *
 * @example
 * new WebSocketServer({ noServer: true, ...computeTableFeedLimits(MAX_TABLE_REQUEST_BYTES) });
 */
export const computeTableFeedLimits = (maxBytes: number): TableFeedLimits => ({
  maxPayload: maxBytes,
  maxFragments: MAX_FRAGMENTS,
  maxBufferedChunks: Math.ceil(maxBytes / MIN_READ_BYTES),
});

const packr = new Packr({ useRecords: false });

/**
 * Encodes a message for one WebSocket frame.
 *
 * @example
 * socket.send(encodeTableFeedMessage({ kind: 'refusal', id: 1 }));
 */
export const encodeTableFeedMessage = (message: TableFeedMessage): Uint8Array =>
  Uint8Array.from(packr.pack(message));

/**
 * Decodes a received frame.
 *
 * @example
 * const message = decodeTableFeedMessage(frame); // Err with what is wrong
 */
export const decodeTableFeedMessage = (frame: Uint8Array): Result<TableFeedMessage, string> => {
  try {
    const parsed = messageSchema.safeParse(packr.unpack(frame));
    return parsed.success ? Ok(parsed.data) : Err(z.prettifyError(parsed.error));
  } catch (error) {
    return Err((error as Error).message);
  }
};
