import {
  CONFIGURATION_HEAD_KEY,
  logEvents,
  resultCodes,
  tables,
  type ConfigurationHead,
  type HeadRow,
  type TableOperation,
} from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import type { ChangeRequest, ChangeOutcome } from '../src/index.js';
import { createConfiguration, createHead } from './fixtures/configurations.js';
import { FakeNodes } from './fixtures/fake-nodes.js';

const presets = [
  { id: 'ordinary', slowdownWeight: 0.5 },
  { id: 'peak', slowdownWeight: 1 },
  { id: 'maintenance', slowdownWeight: 0 },
];

const createChange = (overrides: Partial<ChangeRequest> = {}): ChangeRequest => ({
  changeId: 'change-2',
  baseVersion: 1,
  configuration: createConfiguration({ presets, presetInForce: 'peak' }),
  author: 'mona',
  submittedAtMs: 1_000,
  ...overrides,
});

const writeHead = (nodes: FakeNodes, head: ConfigurationHead): void => {
  const target = { table: tables.configuration, key: CONFIGURATION_HEAD_KEY, value: head };
  nodes.store.apply([{ kind: 'insert', ...target }]);
};

const readHeadRow = (nodes: FakeNodes): HeadRow => {
  const [outcome] = nodes.store.apply([
    { kind: 'get', table: tables.configuration, key: CONFIGURATION_HEAD_KEY },
  ]);
  if (outcome?.kind !== 'row') throw new Error('the head row is missing');
  return outcome.row?.value as HeadRow;
};

const createNodes = (...ids: string[]): FakeNodes => {
  const nodes = new FakeNodes();
  writeHead(nodes, createHead());
  ids.forEach((id) => nodes.start(id));
  nodes.advance(10);
  return nodes;
};

const submitChange = (nodes: FakeNodes, vm: string, change: ChangeRequest): void =>
  nodes.dispatch(vm, { kind: 'operator.change', ...change });

const listOutcomes = (nodes: FakeNodes): ChangeOutcome[] =>
  nodes.listEffects('operator.reply').map(({ outcome }) => outcome);

const listVersions = (nodes: FakeNodes): number[] =>
  [...nodes.nodes.values()].map((node) => node.readStatus().configurationVersion);

const isHeadWrite = (operations: readonly TableOperation[]): boolean =>
  operations.some(({ kind, ...rest }) => {
    const isWrite = kind === 'replace' || kind === 'insert';
    return isWrite && 'key' in rest && rest.key === CONFIGURATION_HEAD_KEY;
  });

/** Makes the first write of the head fail in the given way; all other calls are answered. */
const failFirstHeadWrite = (nodes: FakeNodes, behaviour: 'lost' | 'late' | 'unsent'): void => {
  let failed = false;
  nodes.platform = (_vm, operations) => {
    if (failed || !isHeadWrite(operations)) return 'up';
    failed = true;
    return behaviour;
  };
};

describe('a change of the configuration', () => {
  it('is committed and in force on all linked entry VMs immediately', () => {
    const nodes = createNodes('entry-a1', 'entry-a2', 'entry-a3');
    nodes.openLinks();
    nodes.advance(10);
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(20);
    expect(listOutcomes(nodes)).toEqual([{ kind: 'committed', version: 2 }]);
    expect(listVersions(nodes)).toEqual([2, 2, 2]);
  });

  it('is sent to peers as a difference that yields an identical configuration', () => {
    const nodes = createNodes('entry-a1', 'entry-a2', 'entry-a3');
    nodes.openLinks();
    nodes.advance(10);
    const change = createChange();
    submitChange(nodes, 'entry-a1', change);
    nodes.advance(20);
    const sent = nodes.listEffects('link.send').map(({ message }) => message.kind);
    expect(sent).toContain('configuration.difference');
    expect(sent).not.toContain('configuration.head');
    const adopted = nodes
      .listEffects('configuration.adopted')
      .filter(({ version }) => version === 2)
      .map(({ configuration }) => JSON.stringify(configuration));
    expect(adopted).toHaveLength(3);
    expect(new Set(adopted).size).toBe(1);
  });

  it('is ignored if it is a difference from another version', () => {
    const nodes = createNodes('entry-a1');
    nodes.openLinks();
    const { author, committedAtMs } = createHead();
    const head = { version: 3, changeId: 'change-3', author, committedAtMs };
    const difference = { presetInForce: 'ordinary', sections: {} };
    const bases = [
      { version: 2, changeId: 'change-1' },
      { version: 1, changeId: 'another' },
    ];
    bases.forEach((base) => {
      const message = { kind: 'configuration.difference', head, base, difference } as const;
      nodes.dispatch('entry-a1', { kind: 'link.received', peer: 'entry-a2', message });
    });
    expect(listVersions(nodes)).toEqual([1]);
  });

  it('reaches entry VMs without links by polling within 9 s', () => {
    const nodes = createNodes('entry-a1', 'entry-b1');
    nodes.isLinkUp = () => false;
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(9_000);
    expect(listVersions(nodes)).toEqual([2, 2]);
  });

  it('is committed as the first version with baseVersion 0', () => {
    const nodes = new FakeNodes();
    nodes.start('entry-a1');
    submitChange(nodes, 'entry-a1', createChange({ baseVersion: 0 }));
    nodes.advance(20);
    expect(listOutcomes(nodes)).toEqual([{ kind: 'committed', version: 1 }]);
    expect(nodes.nodes.get('entry-a1')?.readStatus().readiness).toBe('ready');
  });

  it('is refused with a serialization failure if a concurrent change wins', () => {
    const nodes = createNodes('entry-a1', 'entry-a2');
    submitChange(nodes, 'entry-a1', createChange());
    submitChange(nodes, 'entry-a2', createChange({ changeId: 'change-x' }));
    nodes.advance(9_000);
    const outcomes = listOutcomes(nodes);
    expect(outcomes.filter(({ kind }) => kind === 'committed')).toHaveLength(1);
    expect(outcomes.find(({ kind }) => kind === 'refused')).toMatchObject({
      code: resultCodes.serializationFailure,
      committed: 'no',
      version: 2,
    });
  });

  it.each(['lost', 'late', 'unsent'] as const)(
    'is committed once if the first write of the head is %s',
    (behaviour) => {
      const nodes = createNodes('entry-a1');
      failFirstHeadWrite(nodes, behaviour);
      submitChange(nodes, 'entry-a1', createChange());
      nodes.advance(12_000);
      expect(listOutcomes(nodes)).toEqual([{ kind: 'committed', version: 2 }]);
      expect(readHeadRow(nodes)).toMatchObject({ version: 2, changeId: 'change-2' });
    },
  );

  it('is found committed if later versions are based on it after the reply was lost', () => {
    const nodes = createNodes('entry-a1', 'entry-a2');
    let lost = false;
    nodes.platform = (vm, operations) => {
      if (vm !== 'entry-a1') return 'up';
      if (isHeadWrite(operations)) {
        lost = true;
        return 'lost';
      }
      return lost ? 'unsent' : 'up';
    };
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(10);
    submitChange(nodes, 'entry-a2', createChange({ changeId: 'change-3', baseVersion: 2 }));
    nodes.advance(10);
    const next = createChange({ changeId: 'change-4', baseVersion: 3 });
    submitChange(nodes, 'entry-a2', { ...next, configuration: createConfiguration({ presets }) });
    nodes.advance(10);
    nodes.platform = () => 'up';
    nodes.advance(10_000);
    expect(listOutcomes(nodes).at(-1)).toEqual({ kind: 'committed', version: 2 });
    expect(listVersions(nodes)).toEqual([4, 4]);
  });

  it('is committed once if it is submitted again through another entry VM', () => {
    const nodes = createNodes('entry-a1', 'entry-a2');
    failFirstHeadWrite(nodes, 'late');
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(500);
    submitChange(nodes, 'entry-a2', createChange());
    nodes.advance(12_000);
    const committed = { kind: 'committed', version: 2 };
    expect(listOutcomes(nodes)).toEqual([committed, committed]);
    expect(readHeadRow(nodes).version).toBe(2);
  });

  it('is refused if its id was used for another configuration', () => {
    const nodes = createNodes('entry-a1');
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(20);
    submitChange(nodes, 'entry-a1', createChange({ configuration: createConfiguration() }));
    nodes.advance(20);
    expect(listOutcomes(nodes).at(-1)).toMatchObject({ code: resultCodes.changeIdReused });
  });

  it('is refused if its id was used with another base version', () => {
    const nodes = createNodes('entry-a1');
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(20);
    submitChange(nodes, 'entry-a1', createChange({ baseVersion: 2 }));
    nodes.advance(20);
    expect(listOutcomes(nodes).at(-1)).toMatchObject({ code: resultCodes.changeIdReused });
    expect(readHeadRow(nodes).version).toBe(2);
  });

  it('is refused as not committed if the platform was never reached', () => {
    const nodes = createNodes('entry-a1');
    nodes.platform = () => 'unsent';
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(16_000);
    expect(listOutcomes(nodes)).toMatchObject([
      { kind: 'refused', code: resultCodes.changeNotCommitted, committed: 'no' },
    ]);
  });

  it('is refused with an unknown outcome if the platform fails during the write of the head', () => {
    const nodes = createNodes('entry-a1');
    let isUnavailable = false;
    nodes.platform = (_vm, operations) => {
      isUnavailable ||= isHeadWrite(operations);
      return isUnavailable ? 'silent' : 'up';
    };
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(16_000);
    expect(listOutcomes(nodes)).toMatchObject([
      { kind: 'refused', code: resultCodes.platformUnavailable, committed: 'unknown' },
    ]);
  });
});

describe('the configuration history', () => {
  it('lists only committed versions, newest first, with a summary of the changes', () => {
    const nodes = createNodes('entry-a1', 'entry-a2');
    submitChange(nodes, 'entry-a1', createChange());
    submitChange(nodes, 'entry-a2', createChange({ changeId: 'change-x', author: 'olaf' }));
    nodes.advance(9_000);
    const configuration = createConfiguration({ presets, presetInForce: 'maintenance' });
    submitChange(
      nodes,
      'entry-a1',
      createChange({ changeId: 'change-3', baseVersion: 2, configuration }),
    );
    nodes.advance(100);
    nodes.dispatch('entry-a2', { kind: 'operator.readHistory', askId: '1', limit: 10 });
    nodes.advance(100);
    const [history] = nodes.listEffects('operator.history');
    const versions = history?.outcome.kind === 'read' ? history.outcome.versions : [];
    expect(versions.map(({ version }) => version)).toEqual([3, 2]);
    expect(versions[0]?.summary).toEqual([
      '~ preset in force: presetInForce: "peak" -> "maintenance"',
    ]);
  });
});

describe('an entry VM with a configuration', () => {
  it('never adopts a lower version, even if the table service was reset to one', () => {
    const nodes = createNodes('entry-a1');
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(20);
    const target = { table: tables.configuration, key: CONFIGURATION_HEAD_KEY };
    nodes.store.apply([{ kind: 'replace', ...target, value: createHead(), revision: 2 }]);
    nodes.advance(30_000);
    expect(listVersions(nodes)).toEqual([2]);
    const logged = nodes.listEffects('log').map(({ event }) => event);
    expect(logged.filter((event) => event === logEvents.configurationWentBack)).toHaveLength(1);
  });

  it('starts during a store outage with the configuration of a peer and reports its age', () => {
    const nodes = createNodes('entry-a1');
    nodes.platform = () => 'unsent';
    nodes.advance(5_000);
    const startedNode = nodes.start('entry-a2');
    expect(startedNode.readStatus().readiness).toBe('starting');
    nodes.openLinks();
    nodes.advance(3_000);
    expect(startedNode.readStatus()).toMatchObject({ readiness: 'ready', configurationVersion: 1 });
    expect(startedNode.readStatus().configurationAgeMs).toBeGreaterThan(5_000);
  });

  it.each([
    { kind: 'configuration.head', head: createHead({ version: Number.NaN }) },
    { kind: 'configuration.head', head: createHead({ version: 9, configuration: {} as never }) },
    { kind: 'configuration.offer', version: 'nine' as never },
    {
      kind: 'configuration.difference',
      head: createHead({ version: 2 }),
      base: { version: 1, changeId: createHead().changeId },
      difference: { presetInForce: 'night', sections: { teams: 'none' as never } },
    },
    {
      kind: 'configuration.difference',
      head: createHead({ version: 2 }),
      base: undefined as never,
      difference: undefined as never,
    },
    { kind: 'configuration.nonsense' as never, version: 9 },
  ] as const)('ignores a malformed message of a peer: %j', (message) => {
    const nodes = createNodes('entry-a1');
    nodes.openLinks();
    nodes.dispatch('entry-a1', { kind: 'link.received', peer: 'entry-a2', message });
    nodes.advance(1_000);
    expect(listVersions(nodes)).toEqual([1]);
    expect(nodes.listEffects('link.send')).toEqual([]);
  });

  it('is not ready without a configuration', () => {
    const nodes = new FakeNodes();
    nodes.platform = () => 'silent';
    const node = nodes.start('entry-a1');
    nodes.advance(60_000);
    expect(node.readStatus().readiness).toBe('starting');
  });

  it('reads only the small head row while nothing changes', () => {
    const nodes = createNodes('entry-a1');
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(100);
    const before = nodes.effects.length;
    nodes.advance(60_000);
    const reads = nodes.effects
      .slice(before)
      .flatMap(({ effect }) => (effect.kind === 'platform.call' ? [effect.call] : []))
      .flatMap((call) => (call.kind === 'tables' ? call.operations : []));
    expect(reads.every((read) => 'key' in read && read.key === CONFIGURATION_HEAD_KEY)).toBe(true);
    expect(reads.length).toBeLessThanOrEqual(40);
  });

  it('keeps its configuration during a network partition and catches up afterwards', () => {
    const nodes = createNodes('entry-a1', 'entry-b1');
    nodes.openLinks();
    nodes.isLinkUp = () => false;
    nodes.platform = (vm) => (vm === 'entry-b1' ? 'unsent' : 'up');
    submitChange(nodes, 'entry-a1', createChange());
    nodes.advance(30_000);
    const partitioned = nodes.nodes.get('entry-b1');
    expect(partitioned?.readStatus()).toMatchObject({
      readiness: 'ready',
      configurationVersion: 1,
    });
    expect(partitioned?.readStatus().configurationAgeMs).toBeGreaterThan(25_000);
    nodes.platform = () => 'up';
    nodes.advance(9_000);
    expect(listVersions(nodes)).toEqual([2, 2]);
  });
});
