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
const CONVERGENCE_MS = 60_000;

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
  /** A small range, so that the same change is often submitted again through another entry VM. */
  change: fc.nat({ max: 11 }),
  base: fc.nat({ max: 6 }),
  pauseMs: fc.nat({ max: 3_000 }),
  fault: fc.constantFrom('none', 'none', 'freeze', 'wake', 'restart', 'cut', 'heal'),
});

const readValue = <T>(nodes: FakeNodes, table: string, key: string): T | undefined => {
  const [outcome] = nodes.store.apply([{ kind: 'get', table, key }]);
  return outcome?.kind === 'row' ? (outcome.row?.value as T) : undefined;
};

/** Lists the change ids of the committed versions, newest first. */
const listChain = (nodes: FakeNodes): string[] => {
  const chain: string[] = [];
  const head = readValue<HeadRow>(nodes, tables.configuration, CONFIGURATION_HEAD_KEY);
  let versionId: VersionId | undefined = head;
  while (versionId !== undefined) {
    chain.push(versionId.changeId);
    const row: HistoryRow | undefined = readValue(
      nodes,
      tables.history,
      formatHistoryKey(versionId),
    );
    versionId = row?.base;
  }
  return chain;
};

const checkVersionsIncrease = (nodes: FakeNodes, highest: Map<object, number>): void => {
  nodes.nodes.forEach((node) => {
    const { configurationVersion } = node.readStatus();
    expect(configurationVersion).toBeGreaterThanOrEqual(highest.get(node) ?? 0);
    highest.set(node, configurationVersion);
  });
};

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

const applyFault = (nodes: FakeNodes, { fault, vm }: Step, incarnation: number): void => {
  const faults: Readonly<Record<string, () => void>> = {
    freeze: () => nodes.suspend(vm),
    wake: () => nodes.resume(vm),
    restart: () => {
      nodes.resume(vm);
      nodes.start(vm, incarnation);
      nodes.openLinks();
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

const clearFaults = (nodes: FakeNodes): void => {
  nodes.platform = () => 'up';
  nodes.isLinkUp = () => true;
  VMS.forEach((vm) => nodes.resume(vm));
  nodes.advance(CONVERGENCE_MS);
};

/**
 * Checks the replies against the committed versions. A refusal concerns one submission only: a change
 * that was submitted several times may be committed although one submission was refused.
 */
const checkOutcomes = (nodes: FakeNodes, submissionCounts: ReadonlyMap<string, number>): void => {
  const chain = listChain(nodes);
  expect(new Set(chain).size).toBe(chain.length);
  const replies = nodes.listEffects('operator.reply');
  replies.forEach(({ changeId, outcome }) => {
    if (outcome.kind === 'committed') {
      expect(chain[chain.length - outcome.version]).toBe(changeId);
    }
    if (
      outcome.kind === 'refused' &&
      outcome.committed === 'no' &&
      submissionCounts.get(changeId) === 1
    ) {
      expect(chain).not.toContain(changeId);
    }
  });
};

const runConcurrentChanges = (
  steps: readonly Step[],
  behaviours: readonly PlatformBehaviour[],
  submissionCounts: Map<string, number>,
): FakeNodes => {
  const nodes = new FakeNodes();
  const target = { table: tables.configuration, key: CONFIGURATION_HEAD_KEY };
  nodes.store.apply([{ kind: 'insert', ...target, value: createHead() }]);
  VMS.forEach((vm) => nodes.start(vm));
  nodes.openLinks();
  nodes.advance(10);
  let call = 0;
  nodes.platform = () => {
    call += 1;
    return behaviours[call % behaviours.length] ?? 'up';
  };
  const highest = new Map<object, number>();
  steps.forEach((current, index) => {
    applyFault(nodes, current, index + 2);
    const configuration = createConfiguration({
      presets: [{ id: 'ordinary', slowdownWeight: current.change / 100 }],
    });
    const change = { baseVersion: current.base, configuration, author: 'mona', submittedAtMs: 0 };
    const changeId = `change-${current.change}-on-${current.base}`;
    submissionCounts.set(changeId, (submissionCounts.get(changeId) ?? 0) + 1);
    nodes.dispatch(current.vm, { kind: 'operator.change', changeId, ...change });
    nodes.advance(current.pauseMs);
    checkVersionsIncrease(nodes, highest);
  });
  clearFaults(nodes);
  checkVersionsIncrease(nodes, highest);
  return nodes;
};

describe('concurrent changes under failures', () => {
  it('are committed at most once, and versions only increase and converge on all entry VMs', () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 1, maxLength: 30 }),
        fc.array(behaviour, { minLength: 1, maxLength: 20 }),
        (steps, behaviours) => {
          const submissionCounts = new Map<string, number>();
          const nodes = runConcurrentChanges(steps, behaviours, submissionCounts);
          checkOutcomes(nodes, submissionCounts);
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
