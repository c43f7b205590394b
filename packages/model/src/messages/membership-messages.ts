import * as z from 'zod';

const id = z.string().min(1).max(256);
const state = z.enum(['live', 'leaving']);

const entryVm = z.object({
  id,
  incarnation: z.number().int().nonnegative(),
  failureDomain: id,
  link: z.object({ host: z.string().min(1), port: z.number().int().min(0).max(65_535) }),
});

const memberRecord = z.object({ vm: entryVm, state });

/**
 * Messages about membership between entry VMs.
 *
 * - `hello`: sent when a link opens and when the sender's state changes. `digest` covers all member
 *   records of the sender; a receiver with another digest sends `ask`.
 * - `heartbeat`: the sender announces the next one within `intervalMs`.
 * - `ask`: requests a `hello` and all member records and leaving endpoints.
 * - `facts`: member records and leaving endpoints; a receiver forwards those that are new to it.
 * - `suspected`: the sender missed heartbeats of an entry VM; the receiver probes that entry VM.
 * - `probe`: requests a heartbeat.
 */
export const membershipMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('membership.hello'),
    vm: entryVm,
    state,
    configurationVersion: z.number().int().nonnegative(),
    digest: z.number().int(),
  }),
  z.object({
    kind: z.literal('membership.heartbeat'),
    incarnation: z.number().int().nonnegative(),
    configurationVersion: z.number().int().nonnegative(),
    intervalMs: z.number().int().positive(),
  }),
  z.object({ kind: z.literal('membership.ask') }),
  z.object({
    kind: z.literal('membership.facts'),
    members: z.array(memberRecord),
    leavingEndpoints: z.array(id),
  }),
  z.object({
    kind: z.literal('membership.suspected'),
    vmId: id,
    incarnation: z.number().int().nonnegative(),
  }),
  z.object({ kind: z.literal('membership.probe') }),
]);

export type MembershipMessage = z.output<typeof membershipMessageSchema>;

/** State of one incarnation of an entry VM; `leaving` is final. */
export type MemberRecord = z.output<typeof memberRecord>;
