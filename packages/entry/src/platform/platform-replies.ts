import type { MembershipEntry, TableOutcome } from '@savorywind/model';
import * as z from 'zod';

const outcomeSchema = z.looseObject({ kind: z.enum(['row', 'rows', 'written', 'conflict']) });

/** Outcomes of table operations, one for each; rows are checked by whoever reads them. */
export const tablesReplySchema = z.object({
  outcomes: z.array(outcomeSchema).transform((outcomes) => outcomes as unknown as TableOutcome[]),
});

const memberSchema = z.looseObject({
  vm: z.looseObject({ id: z.string() }),
  state: z.enum(['live', 'leaving']),
});

/** The membership list; fields that are not known here are kept. */
export const membershipReplySchema = z.looseObject({
  entries: z.array(memberSchema).transform((entries) => entries as unknown as MembershipEntry[]),
});
