import type { EndpointProcess, ForwardedFrom, PeerRefusal } from '@savorywind/decisions';
import { Err, Ok, type Result } from '@savorywind/model';
import { Packr } from 'msgpackr';
import * as z from 'zod';
import { MAX_TIME_MS } from '../consts.js';

/** Headers between entry VMs, in lower case. They are never passed on to callers or endpoints. */
export const forwardingHeaders = {
  /** Request: who forwards it, and what became of it so far. */
  forwarded: 'savorywind-forwarded',
  /** Response of an endpoint: which one has sent it. */
  served: 'savorywind-served',
  /** Response of the entry VM itself: why the request was not served. */
  refused: 'savorywind-refused',
} as const;

const PREFIX = 'savorywind-';

/** Longest decoded text and list; a request has fewer attempts than that. */
const MAX_TEXT_LENGTH = 512;
const MAX_FAILED_ENDPOINTS = 64;

const text = z.string().min(1).max(MAX_TEXT_LENGTH);

/** A request that is as old has no time left, and nobody waits longer to come back. */
const milliseconds = z
  .number()
  .nonnegative()
  .transform((ms) => Math.min(ms, MAX_TIME_MS));

const forwardedSchema = z.object({
  attempt: text,
  by: text,
  version: z.int().nonnegative(),
  elapsedMs: milliseconds,
  hasBegun: z.boolean(),
  failedEndpoints: z.array(text).max(MAX_FAILED_ENDPOINTS),
});

const servedSchema = z.object({
  attempt: text,
  id: text,
  // An answer is not lost because its endpoint says something odd of its start.
  startedAtMs: z.int().nonnegative().optional().catch(undefined),
});

const refusedSchema = z.object({
  attempt: text,
  reason: z.enum([
    'noRoute',
    'wrongCredential',
    'notReady',
    'credentialsStale',
    'misconfigured',
    'noEndpoint',
    'endpointsClosed',
    'noRoom',
    'rejected',
    'harmful',
    'tooManyParts',
    'stopping',
    'broken',
    'timeout',
  ]),
  retryAfterMs: milliseconds.optional(),
  hasRun: z.boolean(),
  hasArrived: z.boolean(),
  endpoint: text.optional(),
});

/** The attempt of the entry VM that forwards a request; each response names it again. */
interface AttemptName {
  readonly attempt: string;
}

export type ForwardedHeader = ForwardedFrom & AttemptName;
export type ServedHeader = EndpointProcess & AttemptName;
export type RefusedHeader = Omit<PeerRefusal, 'endpoint' | 'retryAfterMs'> &
  Partial<Pick<PeerRefusal, 'endpoint' | 'retryAfterMs'>> &
  AttemptName;

const packr = new Packr({ useRecords: false });

/** Whether a header is one between entry VMs. */
export const isForwardingHeader = (headerName: string): boolean => headerName.startsWith(PREFIX);

/**
 * Encodes the value of a header between entry VMs.
 *
 * @example
 * encodeHeader({ attempt: 'vm-1.7', id: 'engine-1', startedAtMs: 1 });
 */
export const encodeHeader = (value: ForwardedHeader | ServedHeader | RefusedHeader): string =>
  Buffer.from(packr.pack(value)).toString('base64');

const decodeHeader = <Value>(
  schema: z.ZodType<Value>,
  header: string | readonly string[] | undefined,
): Result<Value, string> => {
  if (typeof header !== 'string') return Err('header is missing');
  try {
    const parsed = schema.safeParse(packr.unpack(Buffer.from(header, 'base64')));
    return parsed.success ? Ok(parsed.data) : Err(z.prettifyError(parsed.error));
  } catch (error) {
    return Err((error as Error).message);
  }
};

type HeaderValue = string | readonly string[] | undefined;

/** Decodes `forwarded`. */
export const decodeForwarded = (header: HeaderValue): Result<ForwardedHeader, string> =>
  decodeHeader(forwardedSchema, header);

/** Decodes `served`. */
export const decodeServed = (header: HeaderValue): Result<ServedHeader, string> =>
  decodeHeader<ServedHeader>(servedSchema as z.ZodType<ServedHeader>, header);

/** Decodes `refused`. */
export const decodeRefused = (header: HeaderValue): Result<RefusedHeader, string> =>
  decodeHeader<RefusedHeader>(refusedSchema, header);
