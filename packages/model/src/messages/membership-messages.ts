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
 * Messages about who is there, between entry VMs.
 *
 * - `hello`: sent when a link opens and when the sender's state changes. `digest` covers all members
 *   that the sender knows; who finds another one than its own asks for the facts.
 * - `heartbeat`: the sender promises the next one within `intervalMs`.
 * - `facts`: news, passed on over all links by whoever did not know it.
 * - `suspected`: the sender has missed heartbeats of an entry VM; the receiver probes it itself.
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

/** What is known of one incarnation of an entry VM; `leaving` is never taken back. */
export type MemberRecord = z.output<typeof memberRecord>;
