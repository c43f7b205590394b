import * as z from 'zod';

const address = z.strictObject({
  host: z.string().min(1),
  port: z.number().int().min(0).max(65_535),
});

const positive = z.number().int().positive();

const LOOPBACK = /^(127\.|::1$|localhost$)/;

/** PEM files; read again at SIGHUP. */
const certificate = z.strictObject({
  certificateFile: z.string().min(1),
  keyFile: z.string().min(1),
});

const callers = address
  .extend({
    tls: certificate.optional(),
    /** Whether callers off this machine may be served without TLS. */
    plainText: z.boolean().optional(),
  })
  .refine(
    ({ host, tls, plainText }) => tls !== undefined || plainText === true || LOOPBACK.test(host),
    {
      path: ['tls'],
      message: 'give certificateFile and keyFile, or set callers.plainText to true',
    },
  );

/** Settings of one entry VM, from a JSON file. */
export const settingsSchema = z.strictObject({
  id: z.string().min(1),
  failureDomain: z.string().min(1),
  callers,
  operators: address.extend({
    /** Who may use the operators' interface; the name is the author in the history. */
    credentials: z
      .array(
        z.strictObject({ name: z.string().min(1), sha256: z.string().regex(/^[0-9a-f]{64}$/) }),
      )
      .default([]),
  }),
  links: address,
  platform: z.strictObject({ host: z.string().min(1), port: z.number().int().min(1).max(65_535) }),
  limits: z
    .strictObject({
      /** Largest body of one request. */
      maxBodyBytes: positive.default(8_388_608),
      /** Bodies of all requests in flight together. */
      maxBufferedBodyBytes: positive.default(268_435_456),
      maxHeaderBytes: positive.default(16_384),
      maxJsonDepth: positive.default(64),
      /** Longest time that a caller may ask for. */
      maxTimeoutMs: positive.default(3_600_000),
      /** Time for a caller to send its headers, and its whole request. */
      headersTimeoutMs: positive.default(10_000),
      requestReadTimeoutMs: positive.default(60_000),
      maxConnections: positive.default(10_000),
      /** Part of a streamed answer that waits for its caller to read. */
      maxOutputBytes: positive.default(262_144),
      /** Largest answer that is gathered to be sent whole. */
      maxWholeAnswerBytes: positive.default(8_388_608),
      /** Time after which a caller that reads nothing is given up. */
      callerStallMs: positive.default(10_000),
      /** Time between being told to leave and taking no new requests, for the balancer to notice. */
      drainNoticeMs: z.number().int().nonnegative().default(2_000),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
});

export type EntrySettings = z.output<typeof settingsSchema>;
