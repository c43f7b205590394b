import fc from 'fast-check';
import type { MemberRecord } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { MEMBER_EXPIRY_MS } from '../../src/membership/consts.js';
import { MemberTable } from '../../src/membership/member-table.js';
import { createEntryVm } from '../fixtures/contracts.js';

const SEED = 4;
const self = createEntryVm({ id: 'entry-z' });
const ownRecord: MemberRecord = { vm: self, state: 'live' };

const createRecord = (
  id: string,
  incarnation: number,
  state: MemberRecord['state'] = 'live',
): MemberRecord => ({ vm: createEntryVm({ id, incarnation }), state });

const records = fc.array(
  fc
    .tuple(
      fc.constantFrom('entry-a', 'entry-b', 'entry-c'),
      fc.integer({ min: 1, max: 3 }),
      fc.constantFrom<MemberRecord['state']>('live', 'leaving'),
    )
    .map(([id, incarnation, state]) => createRecord(id, incarnation, state)),
);

const createTable = (memberRecords: readonly MemberRecord[]): MemberTable => {
  const table = new MemberTable(self);
  memberRecords.forEach((record) => table.applyRecord(record, 0));
  return table;
};

describe('MemberTable', () => {
  it('converges to the same records regardless of their order and repetition', () => {
    const property = fc.property(
      records.chain((memberRecords) =>
        fc.tuple(
          fc.constant(memberRecords),
          fc.shuffledSubarray(memberRecords, {
            minLength: memberRecords.length,
          }),
        ),
      ),
      ([memberRecords, shuffled]) => {
        const digest = createTable(memberRecords).hashRecords(ownRecord);
        expect(createTable([...shuffled, ...memberRecords]).hashRecords(ownRecord)).toBe(digest);
      },
    );
    fc.assert(property, { seed: SEED });
  });

  it('has different digests for different records', () => {
    const live = createTable([createRecord('entry-a', 1)]);
    const leaving = createTable([createRecord('entry-a', 1, 'leaving')]);
    expect(live.hashRecords(ownRecord)).not.toBe(leaving.hashRecords(ownRecord));
  });

  it('applies a list without incarnations and keeps the state that the member reported itself', () => {
    const table = createTable([createRecord('entry-a', 2)]);
    expect(table.applyListed(createRecord('entry-a', 0, 'leaving'), 0)).toBe(true);
    expect(table.find('entry-a')).toMatchObject({ state: 'live', isListedLeaving: true });
    table.applyListed(createRecord('entry-a', 0), 0);
    expect(table.find('entry-a')).toMatchObject({ state: 'live', isListedLeaving: false });
    table.applySelfReport(createRecord('entry-a', 2, 'leaving'), 7, 0);
    table.applyListed(createRecord('entry-a', 0), 0);
    expect(table.find('entry-a')).toMatchObject({ state: 'leaving', configurationVersion: 7 });
  });

  it('does not restore a removed member unless the member itself sends a message', () => {
    const table = createTable([createRecord('entry-a', 2)]);
    expect(table.expireMembers(MEMBER_EXPIRY_MS, () => false)).toHaveLength(1);
    expect(table.applyRecord(createRecord('entry-a', 2), MEMBER_EXPIRY_MS)).toBe(false);
    expect(table.applyRecord(createRecord('entry-a', 1), MEMBER_EXPIRY_MS)).toBe(false);
    expect(table.applySelfReport(createRecord('entry-a', 2), 0, MEMBER_EXPIRY_MS)).toBe(true);
  });
});
