import { z } from 'zod';

const address = z.strictObject({
  host: z.string().min(1),
  port: z.number().int().min(0).max(65_535),
});

/** Settings of one entry VM, from a JSON file. */
export const settingsSchema = z.strictObject({
  id: z.string().min(1),
  failureDomain: z.string().min(1),
  callers: address,
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
      maxBodyBytes: z.number().int().positive().default(8_388_608),
      maxTimeoutMs: z.number().int().positive().default(3_600_000),
    })
    .prefault({}),
  log: z
    .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
});

export type EntrySettings = z.output<typeof settingsSchema>;
