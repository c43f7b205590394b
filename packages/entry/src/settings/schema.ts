import * as z from 'zod';

const listenAddress = z.strictObject({
  host: z.string().min(1),
  port: z.number().int().min(0).max(65_535),
});

const positiveInteger = z.number().int().positive();

const LOOPBACK_PATTERN = /^(127\.|::1$|localhost$)/;

/** PEM files; reloaded on SIGHUP. */
const certificate = z.strictObject({
  certificateFile: z.string().min(1),
  keyFile: z.string().min(1),
});

const callers = listenAddress
  .extend({
    tls: certificate.optional(),
    /** Whether an address other than loopback may be served without TLS. */
    plainText: z.boolean().optional(),
  })
  .refine(
    ({ host, tls, plainText }) =>
      tls !== undefined || plainText === true || LOOPBACK_PATTERN.test(host),
    {
      path: ['tls'],
      message: 'give certificateFile and keyFile, or set callers.plainText to true',
    },
  );

/** Schema of an entry VM's settings file. Times are in milliseconds, sizes in bytes. */
export const settingsSchema = z.strictObject({
  id: z.string().min(1),
  failureDomain: z.string().min(1),
  callers,
  operators: listenAddress.extend({
    /** Credentials for the operator API; `name` is recorded as the author of changes. */
    credentials: z
      .array(
        z.strictObject({ name: z.string().min(1), sha256: z.string().regex(/^[0-9a-f]{64}$/) }),
      )
      .default([]),
  }),
  links: listenAddress,
  platform: z.strictObject({ host: z.string().min(1), port: z.number().int().min(1).max(65_535) }),
  limits: z
    .strictObject({
      /** Largest request body. */
      maxBodyBytes: positiveInteger.default(8_388_608),
      /** Memory for the bodies of all requests in flight together. */
      maxBufferedBodyBytes: positiveInteger.default(268_435_456),
      maxHeaderBytes: positiveInteger.default(16_384),
      maxJsonDepth: positiveInteger.default(64),
      /** Longest timeout that a caller may request. */
      maxTimeoutMs: positiveInteger.default(3_600_000),
      /** Time within which a caller must have sent its headers. */
      headersTimeoutMs: positiveInteger.default(10_000),
      /** Time within which a caller must have sent its complete request. */
      requestReadTimeoutMs: positiveInteger.default(60_000),
      maxConnections: positiveInteger.default(10_000),
      /** Bytes of a response that may be buffered for a caller that reads slowly. */
      maxOutputBytes: positiveInteger.default(262_144),
      /** Largest non-streamed completion. */
      maxWholeAnswerBytes: positiveInteger.default(8_388_608),
      /** Time within which a slow caller must read the buffered data, or its response is aborted. */
      callerStallMs: positiveInteger.default(10_000),
      /** Time between a drain request and the first refused requests, for the load balancer to react. */
      drainNoticeMs: z.number().int().nonnegative().default(2_000),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
});

export type EntrySettings = z.output<typeof settingsSchema>;
