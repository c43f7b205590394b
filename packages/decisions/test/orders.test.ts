import fc from 'fast-check';
import {
  CONFIGURATION_HEAD_KEY,
  tables,
  type Configuration,
  type FencingSupport,
} from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createConfiguration, createEngine, createHead } from './fixtures/configurations.js';
import { FakeNodes, type PlatformBehaviour } from './fixtures/fake-nodes.js';
import { FakeOrderEngines } from './fixtures/fake-order-engines.js';

const VMS = ['entry-a1', 'entry-a2', 'entry-a3'];
const STEP_MS = 50;
const BEHAVIOURS = ['up', 'up', 'up', 'slow', 'silent', 'lost', 'late', 'unsent'] as const;

const isBehaviour = (act: string): act is PlatformBehaviour =>
  BEHAVIOURS.some((behaviour) => behaviour === act);

const ACTS: Readonly<Record<string, (nodes: FakeNodes, vm: string, index: number) => void>> = {
  freeze: (nodes, vm) => nodes.freeze(vm),
  wake: (nodes, vm) => nodes.wake(vm),
  restart: (nodes, vm, index) => {
    nodes.wake(vm);
    nodes.start(vm, index + 2);
  },
};
const CONVERGED_MS = 60_000;

const declare = (version: string, fencing: FencingSupport, count = 1): Configuration =>
  createConfiguration({
    endpoints: Array.from({ length: count }, (_item, index) =>
      createEngine({
        id: `engine-a${index + 1}`,
        fencing,
        placement: { version, role: 'mixed', adapters: [] },
      }),
    ),
    services: [],
  });

const createNodes = (configuration: Configuration, vms: readonly string[] = VMS) => {
  const nodes = new FakeNodes();
  const engines = new FakeOrderEngines(nodes);
  const place = { table: tables.configuration, key: CONFIGURATION_HEAD_KEY };
  nodes.store.apply([{ kind: 'insert', ...place, value: createHead({ configuration }) }]);
  vms.forEach((vm) => nodes.start(vm));
  nodes.link();
  return { nodes, engines };
};

const change = (nodes: FakeNodes, vm: string, version: number, configuration: Configuration) => {
  const ask = { changeId: `change-${version + 1}`, baseVersion: version, configuration };
  nodes.hand(vm, { kind: 'operator.change', ...ask, author: 'mona', submittedAtMs: 0 });
};

const listHolders = (nodes: FakeNodes): string[] =>
  [...nodes.nodes]
    .filter(([id, node]) => !nodes.isFrozen(id) && node.readStatus().orderLease.held)
    .map(([id]) => id);

const waitForHolder = (nodes: FakeNodes): string => {
  for (let step = 0; step < CONVERGED_MS / STEP_MS; step += 1) {
    const [holder] = listHolders(nodes);
    if (holder !== undefined) return holder;
    nodes.advance(STEP_MS);
  }
  throw new Error('nobody took the lease');
};

describe.each(['checked', 'ignored'] as const)('orders to engines, fencing %s', (fencing) => {
  it('bring every engine to what is declared, with one order each and two loading at most', () => {
    const { nodes, engines } = createNodes(declare('2', fencing, 5));
    nodes.advance(CONVERGED_MS);
    expect(engines.taken.map(({ endpoint }) => endpoint).sort()).toEqual(
      Array.from({ length: 5 }, (_item, index) => `engine-a${index + 1}`),
    );
    expect(engines.readVersion('engine-a5')).toBe('2');
    expect(engines.mostLoading).toBe(2);
  });

  it('wait for earlier ones to arrive only where fencing is ignored', () => {
    const { nodes, engines } = createNodes(declare('2', fencing));
    waitForHolder(nodes);
    const takenAtMs = nodes.nowMs;
    nodes.advance(CONVERGED_MS);
    const waitedMs = (engines.taken[0]?.atMs ?? 0) - takenAtMs;
    expect(waitedMs >= 4_900).toBe(fencing === 'ignored');
  });

  it('are given again when an answer is lost and the engine starts anew', () => {
    const { nodes, engines } = createNodes(declare('2', fencing));
    let lost = false;
    engines.treat = ({ kind }) => {
      const isFirst = kind === 'order.give' && !lost;
      lost ||= isFirst;
      return { delayMs: 2, answered: !isFirst };
    };
    nodes.advance(CONVERGED_MS);
    expect(engines.readVersion('engine-a1')).toBe('2');
    expect(engines.taken).toHaveLength(1);
    engines.restart('engine-a1');
    nodes.advance(CONVERGED_MS);
    expect(engines.readVersion('engine-a1')).toBe('2');
    expect(engines.taken).toHaveLength(2);
  });

  it('are not given by a holder that was paused beyond its lease', () => {
    const { nodes, engines } = createNodes(declare('2', fencing));
    const paused = waitForHolder(nodes);
    nodes.freeze(paused);
    nodes.advance(30_000);
    const next = waitForHolder(nodes);
    expect(next).not.toBe(paused);
    nodes.wake(paused);
    nodes.advance(CONVERGED_MS);
    const fencingNumbers = engines.taken.map((order) => order.fencing);
    expect(fencingNumbers).toEqual([...fencingNumbers].sort((a, b) => a - b));
    expect(engines.taken.every(({ vm }) => vm !== paused)).toBe(true);
    expect(engines.readVersion('engine-a1')).toBe('2');
  });

  it('end as declared when an old order arrives after those of the next holder', () => {
    const { nodes, engines } = createNodes(declare('2', fencing));
    const first = waitForHolder(nodes);
    engines.treat = ({ kind }, vm) => {
      const isLate = kind === 'order.give' && vm === first;
      return { delayMs: isLate ? 40_000 : 2, answered: !isLate };
    };
    nodes.advance(7_000);
    nodes.freeze(first);
    const others = VMS.filter((vm) => vm !== first);
    change(nodes, others[0]!, 1, declare('3', fencing));
    nodes.advance(30_000);
    expect(engines.readVersion('engine-a1')).toBe('3');
    nodes.advance(CONVERGED_MS);
    expect(engines.readVersion('engine-a1')).toBe('3');
    const lateTaken = engines.taken.filter(({ version }) => version === '2');
    expect(lateTaken).toHaveLength(fencing === 'ignored' ? 1 : 0);
  });

  it('stop in an outage of the store when the lease is over, and go on after it', () => {
    const { nodes, engines } = createNodes(declare('2', fencing, 20));
    waitForHolder(nodes);
    nodes.advance(8_000);
    const outageAtMs = nodes.nowMs;
    nodes.platform = () => 'silent';
    nodes.advance(60_000);
    expect(engines.taken.length).toBeGreaterThan(0);
    expect(engines.taken.length).toBeLessThan(20);
    expect(engines.taken.every(({ atMs }) => atMs <= outageAtMs + 9_100)).toBe(true);
    nodes.platform = () => 'up';
    nodes.advance(2 * CONVERGED_MS);
    expect(engines.readVersion('engine-a20')).toBe('2');
  });
});

describe('the lease for orders', () => {
  it('is passed on at once by a holder that leaves', () => {
    const { nodes } = createNodes(declare('2', 'checked'));
    const holder = waitForHolder(nodes);
    nodes.hand(holder, { kind: 'drainRequested' });
    nodes.advance(5_000);
    expect(listHolders(nodes)).toHaveLength(1);
    expect(listHolders(nodes)).not.toContain(holder);
  });

  it('goes above a fencing number that an engine has seen, when the table was set back', () => {
    const { nodes, engines } = createNodes(declare('2', 'checked'));
    nodes.advance(CONVERGED_MS);
    const seen = createNodes(declare('3', 'checked'), ['entry-a1']);
    seen.engines.treat = engines.treat;
    seen.nodes.engines = (engine, call, vm) => ({
      delayMs: 2,
      run: () => {
        const raised = call.kind === 'order.give' && call.fencing < 7;
        const reply = raised ? undefined : seen.engines.receive(engine, call, vm);
        return reply?.ok && reply.val.kind === 'placement'
          ? reply.map((placement) => ({ ...placement, fencing: 7 }))
          : reply;
      },
    });
    seen.nodes.advance(CONVERGED_MS);
    expect(seen.engines.taken.map(({ fencing }) => fencing)).toEqual([8]);
  });

  it('has one holder at a time, whatever is paused, lost, slow or late', () => {
    const step = fc.record({
      vm: fc.constantFrom(...VMS),
      act: fc.constantFrom('freeze', 'wake', 'restart', ...BEHAVIOURS),
      steps: fc.nat({ max: 200 }),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 5, maxLength: 30 }), (steps) => {
        const { nodes } = createNodes(declare('2', 'checked'));
        const behaviours = new Map<string, PlatformBehaviour>();
        nodes.platform = (vm) => behaviours.get(vm) ?? 'up';
        nodes.advance(5_000);
        steps.forEach(({ vm, act, steps: count }, index) => {
          ACTS[act]?.(nodes, vm, index);
          if (isBehaviour(act)) behaviours.set(vm, act);
          for (let passed = 0; passed < count; passed += 1) {
            nodes.advance(STEP_MS);
            expect(listHolders(nodes).length).toBeLessThanOrEqual(1);
          }
        });
      }),
      { seed: 7, numRuns: 150 },
    );
  });
});
