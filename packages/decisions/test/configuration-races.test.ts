import fc from 'fast-check';
import {
  CONFIGURATION_HEAD_KEY,
  formatHistoryKey,
  tables,
  type HeadRow,
  type HistoryRow,
  type VersionId,
} from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createConfiguration, createHead } from './fixtures/configurations.js';
import { FakeNodes, type PlatformBehaviour } from './fixtures/fake-nodes.js';

const VMS = ['entry-a1', 'entry-a2', 'entry-b1'];
const SETTLE_MS = 60_000;

const behaviour = fc.constantFrom<PlatformBehaviour>(
  'up',
  'up',
  'unsent',
  'lost',
  'late',
  'silent',
);
const step = fc.record({
  vm: fc.constantFrom(...VMS),
  /** A small range, so that the same change is often sent again, and through another entry VM. */
  change: fc.nat({ max: 11 }),
  base: fc.nat({ max: 6 }),
  pauseMs: fc.nat({ max: 3_000 }),
  fault: fc.constantFrom('none', 'none', 'freeze', 'wake', 'restart', 'cut', 'heal'),
});

const readValue = <T>(nodes: FakeNodes, table: string, key: string): T | undefined => {
  const [outcome] = nodes.store.apply([{ kind: 'get', table, key }]);
  return outcome?.kind === 'row' ? (outcome.row?.value as T) : undefined;
};

/** Change ids of the committed versions, newest first. */
const listChain = (nodes: FakeNodes): string[] => {
  const chain: string[] = [];
  const head = readValue<HeadRow>(nodes, tables.configuration, CONFIGURATION_HEAD_KEY);
  let name: VersionId | undefined = head;
  while (name !== undefined) {
    chain.push(name.changeId);
    const row: HistoryRow | undefined = readValue(nodes, tables.history, formatHistoryKey(name));
    name = row?.base;
  }
  return chain;
};

const checkVersionsRise = (nodes: FakeNodes, highest: Map<object, number>): void => {
  nodes.nodes.forEach((node) => {
    const { configurationVersion } = node.readStatus();
    expect(configurationVersion).toBeGreaterThanOrEqual(highest.get(node) ?? 0);
    highest.set(node, configurationVersion);
  });
};

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

const applyFault = (nodes: FakeNodes, { fault, vm }: Step, incarnation: number): void => {
  const faults: Readonly<Record<string, () => void>> = {
    freeze: () => nodes.freeze(vm),
    wake: () => nodes.wake(vm),
    restart: () => {
      nodes.wake(vm);
      nodes.start(vm, incarnation);
      nodes.link();
    },
    cut: () => {
      nodes.isLinkUp = (from, to) => from !== vm && to !== vm;
    },
    heal: () => {
      nodes.isLinkUp = () => true;
    },
  };
  faults[fault]?.();
};

const healAll = (nodes: FakeNodes): void => {
  nodes.platform = () => 'up';
  nodes.isLinkUp = () => true;
  VMS.forEach((vm) => nodes.wake(vm));
  nodes.advance(SETTLE_MS);
};

/** A refusal speaks of its own try: another one of the same change may be committed. */
const checkOutcomes = (nodes: FakeNodes, asks: ReadonlyMap<string, number>): void => {
  const chain = listChain(nodes);
  expect(new Set(chain).size).toBe(chain.length);
  const replies = nodes.listEffects('operator.reply');
  replies.forEach(({ changeId, outcome }) => {
    if (outcome.kind === 'committed') {
      expect(chain[chain.length - outcome.version]).toBe(changeId);
    }
    if (outcome.kind === 'refused' && outcome.committed === 'no' && asks.get(changeId) === 1) {
      expect(chain).not.toContain(changeId);
    }
  });
};

const runRaces = (
  steps: readonly Step[],
  behaviours: readonly PlatformBehaviour[],
  asks: Map<string, number>,
): FakeNodes => {
  const nodes = new FakeNodes();
  const place = { table: tables.configuration, key: CONFIGURATION_HEAD_KEY };
  nodes.store.apply([{ kind: 'insert', ...place, value: createHead() }]);
  VMS.forEach((vm) => nodes.start(vm));
  nodes.link();
  nodes.advance(10);
  let call = 0;
  nodes.platform = () => {
    call += 1;
    return behaviours[call % behaviours.length] ?? 'up';
  };
  const highest = new Map<object, number>();
  steps.forEach((given, index) => {
    applyFault(nodes, given, index + 2);
    const configuration = createConfiguration({
      presets: [{ id: 'ordinary', slowdownWeight: given.change / 100 }],
    });
    const ask = { baseVersion: given.base, configuration, author: 'mona', submittedAtMs: 0 };
    const changeId = `change-${given.change}-on-${given.base}`;
    asks.set(changeId, (asks.get(changeId) ?? 0) + 1);
    nodes.hand(given.vm, { kind: 'operator.change', changeId, ...ask });
    nodes.advance(given.pauseMs);
    checkVersionsRise(nodes, highest);
  });
  healAll(nodes);
  checkVersionsRise(nodes, highest);
  return nodes;
};

describe('operators who race each other under failures', () => {
  it('never commit a change twice, and versions only rise and end the same everywhere', () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 1, maxLength: 30 }),
        fc.array(behaviour, { minLength: 1, maxLength: 20 }),
        (steps, behaviours) => {
          const asks = new Map<string, number>();
          const nodes = runRaces(steps, behaviours, asks);
          checkOutcomes(nodes, asks);
          const head = readValue<HeadRow>(nodes, tables.configuration, CONFIGURATION_HEAD_KEY);
          nodes.nodes.forEach((node) =>
            expect(node.readStatus().configurationVersion).toBe(head?.version),
          );
        },
      ),
      { seed: 4, numRuns: 300 },
    );
  });
});
