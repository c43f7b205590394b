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

const isBehaviour = (action: string): action is PlatformBehaviour =>
  BEHAVIOURS.some((behaviour) => behaviour === action);

const ACTIONS: Readonly<Record<string, (nodes: FakeNodes, vm: string, index: number) => void>> = {
  freeze: (nodes, vm) => nodes.suspend(vm),
  wake: (nodes, vm) => nodes.resume(vm),
  restart: (nodes, vm, index) => {
    nodes.resume(vm);
    nodes.start(vm, index + 2);
  },
};
const CONVERGENCE_MS = 60_000;

const createDeclaration = (version: string, fencing: FencingSupport, count = 1): Configuration =>
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
  const target = { table: tables.configuration, key: CONFIGURATION_HEAD_KEY };
  nodes.store.apply([{ kind: 'insert', ...target, value: createHead({ configuration }) }]);
  vms.forEach((vm) => nodes.start(vm));
  nodes.openLinks();
  return { nodes, engines };
};

const submitChange = (
  nodes: FakeNodes,
  vm: string,
  version: number,
  configuration: Configuration,
) => {
  const request = { changeId: `change-${version + 1}`, baseVersion: version, configuration };
  nodes.dispatch(vm, { kind: 'operator.change', ...request, author: 'mona', submittedAtMs: 0 });
};

const listLeaseHolders = (nodes: FakeNodes): string[] =>
  [...nodes.nodes]
    .filter(([id, node]) => !nodes.isSuspended(id) && node.readStatus().orderLease.held)
    .map(([id]) => id);

const waitForLeaseHolder = (nodes: FakeNodes): string => {
  for (let step = 0; step < CONVERGENCE_MS / STEP_MS; step += 1) {
    const [holder] = listLeaseHolders(nodes);
    if (holder !== undefined) return holder;
    nodes.advance(STEP_MS);
  }
  throw new Error('no entry VM took the lease');
};

describe.each(['checked', 'ignored'] as const)('orders to engines, fencing %s', (fencing) => {
  it('bring all engines to the declared placement, with one order each and two loading', () => {
    const { nodes, engines } = createNodes(createDeclaration('2', fencing, 5));
    nodes.advance(CONVERGENCE_MS);
    expect(engines.receivedOrders.map(({ endpoint }) => endpoint).sort()).toEqual(
      Array.from({ length: 5 }, (_item, index) => `engine-a${index + 1}`),
    );
    expect(engines.readVersion('engine-a5')).toBe('2');
    expect(engines.maxLoadingCount).toBe(2);
  });

  it('wait for the arrival of earlier ones only if fencing is ignored', () => {
    const { nodes, engines } = createNodes(createDeclaration('2', fencing));
    waitForLeaseHolder(nodes);
    const takenAtMs = nodes.nowMs;
    nodes.advance(CONVERGENCE_MS);
    const waitedMs = (engines.receivedOrders[0]?.atMs ?? 0) - takenAtMs;
    expect(waitedMs >= 4_900).toBe(fencing === 'ignored');
  });

  it('are sent once if a reply is lost, and again after the engine restarts', () => {
    const { nodes, engines } = createNodes(createDeclaration('2', fencing));
    let lost = false;
    engines.callBehaviour = ({ kind }) => {
      const isFirst = kind === 'order.give' && !lost;
      lost ||= isFirst;
      return { delayMs: 2, answered: !isFirst };
    };
    nodes.advance(CONVERGENCE_MS);
    expect(engines.readVersion('engine-a1')).toBe('2');
    expect(engines.receivedOrders).toHaveLength(1);
    engines.restart('engine-a1');
    nodes.advance(CONVERGENCE_MS);
    expect(engines.readVersion('engine-a1')).toBe('2');
    expect(engines.receivedOrders).toHaveLength(2);
  });

  it('are not sent by a holder that was suspended past the end of its lease', () => {
    const { nodes, engines } = createNodes(createDeclaration('2', fencing));
    const suspended = waitForLeaseHolder(nodes);
    nodes.suspend(suspended);
    nodes.advance(30_000);
    const next = waitForLeaseHolder(nodes);
    expect(next).not.toBe(suspended);
    nodes.resume(suspended);
    nodes.advance(CONVERGENCE_MS);
    const fencingNumbers = engines.receivedOrders.map((order) => order.fencing);
    expect(fencingNumbers).toEqual([...fencingNumbers].sort((a, b) => a - b));
    expect(engines.receivedOrders.every(({ vm }) => vm !== suspended)).toBe(true);
    expect(engines.readVersion('engine-a1')).toBe('2');
  });

  it('lead to the declared placement if an old order arrives after newer ones', () => {
    const { nodes, engines } = createNodes(createDeclaration('2', fencing));
    const first = waitForLeaseHolder(nodes);
    engines.callBehaviour = ({ kind }, vm) => {
      const isLate = kind === 'order.give' && vm === first;
      return { delayMs: isLate ? 40_000 : 2, answered: !isLate };
    };
    nodes.advance(7_000);
    nodes.suspend(first);
    const others = VMS.filter((vm) => vm !== first);
    submitChange(nodes, others[0]!, 1, createDeclaration('3', fencing));
    nodes.advance(30_000);
    expect(engines.readVersion('engine-a1')).toBe('3');
    nodes.advance(CONVERGENCE_MS);
    expect(engines.readVersion('engine-a1')).toBe('3');
    const lateTaken = engines.receivedOrders.filter(({ version }) => version === '2');
    expect(lateTaken).toHaveLength(fencing === 'ignored' ? 1 : 0);
  });

  it('stop when the lease expires during an outage of the store, and continue after it', () => {
    const { nodes, engines } = createNodes(createDeclaration('2', fencing, 20));
    waitForLeaseHolder(nodes);
    nodes.advance(8_000);
    const outageAtMs = nodes.nowMs;
    nodes.platform = () => 'silent';
    nodes.advance(60_000);
    expect(engines.receivedOrders.length).toBeGreaterThan(0);
    expect(engines.receivedOrders.length).toBeLessThan(20);
    expect(engines.receivedOrders.every(({ atMs }) => atMs <= outageAtMs + 9_100)).toBe(true);
    nodes.platform = () => 'up';
    nodes.advance(2 * CONVERGENCE_MS);
    expect(engines.readVersion('engine-a20')).toBe('2');
  });
});

describe('the lease for orders', () => {
  it('is taken by another entry VM soon after its holder leaves', () => {
    const { nodes } = createNodes(createDeclaration('2', 'checked'));
    const holder = waitForLeaseHolder(nodes);
    nodes.dispatch(holder, { kind: 'drainRequested' });
    nodes.advance(5_000);
    expect(listLeaseHolders(nodes)).toHaveLength(1);
    expect(listLeaseHolders(nodes)).not.toContain(holder);
  });

  it('gets a fencing number above one that an engine has seen, after the table was reset', () => {
    const { nodes, engines } = createNodes(createDeclaration('2', 'checked'));
    nodes.advance(CONVERGENCE_MS);
    const other = createNodes(createDeclaration('3', 'checked'), ['entry-a1']);
    other.engines.callBehaviour = engines.callBehaviour;
    other.nodes.engines = (engine, call, vm) => ({
      delayMs: 2,
      run: () => {
        const isIgnored = call.kind === 'order.give' && call.fencing < 7;
        const reply = isIgnored ? undefined : other.engines.receive(engine, call, vm);
        return reply?.ok && reply.val.kind === 'placement'
          ? reply.map((placement) => ({ ...placement, fencing: 7 }))
          : reply;
      },
    });
    other.nodes.advance(CONVERGENCE_MS);
    expect(other.engines.receivedOrders.map(({ fencing }) => fencing)).toEqual([8]);
  });

  it('has one holder at a time, whatever is suspended, lost, slow or late', () => {
    const step = fc.record({
      vm: fc.constantFrom(...VMS),
      action: fc.constantFrom('freeze', 'wake', 'restart', ...BEHAVIOURS),
      steps: fc.nat({ max: 200 }),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 5, maxLength: 30 }), (steps) => {
        const { nodes } = createNodes(createDeclaration('2', 'checked'));
        const behaviours = new Map<string, PlatformBehaviour>();
        nodes.platform = (vm) => behaviours.get(vm) ?? 'up';
        nodes.advance(5_000);
        steps.forEach(({ vm, action, steps: count }, index) => {
          ACTIONS[action]?.(nodes, vm, index);
          if (isBehaviour(action)) behaviours.set(vm, action);
          for (let passed = 0; passed < count; passed += 1) {
            nodes.advance(STEP_MS);
            expect(listLeaseHolders(nodes).length).toBeLessThanOrEqual(1);
          }
        });
      }),
      { seed: 7, numRuns: 150 },
    );
  });
});
