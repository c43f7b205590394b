import type { MembershipEntry, TableOutcome } from '@savorywind/model';
import * as z from 'zod';

const outcomeSchema = z.looseObject({ kind: z.enum(['row', 'rows', 'written', 'conflict']) });

/** One outcome for each table operation. The content of rows is validated by their readers. */
export const tablesReplySchema = z.object({
  outcomes: z.array(outcomeSchema).transform((outcomes) => outcomes as unknown as TableOutcome[]),
});

const memberSchema = z.looseObject({
  vm: z.looseObject({ id: z.string() }),
  state: z.enum(['live', 'leaving']),
});

/** The membership list. Unknown fields are kept. */
export const membershipReplySchema = z.looseObject({
  entries: z.array(memberSchema).transform((entries) => entries as unknown as MembershipEntry[]),
});
