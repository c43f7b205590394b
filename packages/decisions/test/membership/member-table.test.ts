import fc from 'fast-check';
import type { MemberFact } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { FORGET_MS } from '../../src/membership/consts.js';
import { MemberTable } from '../../src/membership/member-table.js';
import { createEntryVm } from '../fixtures/contracts.js';

const SEED = 4;
const self = createEntryVm({ id: 'entry-z' });
const ownFact: MemberFact = { vm: self, state: 'live' };

const createFact = (
  id: string,
  incarnation: number,
  state: MemberFact['state'] = 'live',
): MemberFact => ({ vm: createEntryVm({ id, incarnation }), state });

const facts = fc.array(
  fc
    .tuple(
      fc.constantFrom('entry-a', 'entry-b', 'entry-c'),
      fc.integer({ min: 1, max: 3 }),
      fc.constantFrom<MemberFact['state']>('live', 'leaving'),
    )
    .map(([id, incarnation, state]) => createFact(id, incarnation, state)),
);

const createTable = (given: readonly MemberFact[]): MemberTable => {
  const table = new MemberTable(self);
  given.forEach((fact) => table.accept(fact, 0));
  return table;
};

describe('MemberTable', () => {
  it('ends with the same facts in whatever order they come, and however often', () => {
    const property = fc.property(
      facts.chain((given) =>
        fc.tuple(
          fc.constant(given),
          fc.shuffledSubarray(given, {
            minLength: given.length,
          }),
        ),
      ),
      ([given, shuffled]) => {
        const digest = createTable(given).hashFacts(ownFact);
        expect(createTable([...shuffled, ...given]).hashFacts(ownFact)).toBe(digest);
      },
    );
    fc.assert(property, { seed: SEED });
  });

  it('tells different facts apart by their digest', () => {
    const live = createTable([createFact('entry-a', 1)]);
    const leaving = createTable([createFact('entry-a', 1, 'leaving')]);
    expect(live.hashFacts(ownFact)).not.toBe(leaving.hashFacts(ownFact));
  });

  it('follows a list that knows no incarnations, and keeps what the member said of itself', () => {
    const table = createTable([createFact('entry-a', 2)]);
    expect(table.acceptListed(createFact('entry-a', 0, 'leaving'), 0)).toBe(true);
    expect(table.find('entry-a')).toMatchObject({ state: 'live', listedLeaving: true });
    table.acceptListed(createFact('entry-a', 0), 0);
    expect(table.find('entry-a')).toMatchObject({ state: 'live', listedLeaving: false });
    table.acceptSelfReport(createFact('entry-a', 2, 'leaving'), 7, 0);
    table.acceptListed(createFact('entry-a', 0), 0);
    expect(table.find('entry-a')).toMatchObject({ state: 'leaving', configurationVersion: 7 });
  });

  it('does not bring back what it forgot, unless the member itself is heard', () => {
    const table = createTable([createFact('entry-a', 2)]);
    expect(table.forgetUnmentioned(FORGET_MS, () => false)).toHaveLength(1);
    expect(table.accept(createFact('entry-a', 2), FORGET_MS)).toBe(false);
    expect(table.accept(createFact('entry-a', 1), FORGET_MS)).toBe(false);
    expect(table.acceptSelfReport(createFact('entry-a', 2), 0, FORGET_MS)).toBe(true);
  });
});
