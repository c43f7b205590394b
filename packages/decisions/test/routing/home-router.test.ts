import fc from 'fast-check';
import { resultCodes, type ModelContract } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import type { SlotDecision } from '../../src/index.js';
import { findOwner } from '../../src/membership/rendezvous.js';
import { createConfiguration, createEngine } from '../fixtures/configurations.js';
import { createModelContract } from '../fixtures/contracts.js';
import { RouterMesh, type MeshNode } from '../fixtures/router-mesh.js';

const IDS = ['entry-a1', 'entry-a2', 'entry-a3'];

const createMesh = (engineCount = 2, ids = IDS): RouterMesh => {
  const endpoints = Array.from({ length: engineCount }, (_, index) =>
    createEngine({ id: `engine-${index}` }),
  );
  const mesh = new RouterMesh(ids, createConfiguration({ endpoints }));
  mesh.advance(1_000);
  return mesh;
};

interface Asked {
  readonly node: MeshNode;
  readonly contract: ModelContract;
  readonly decisions: SlotDecision[];
}

let nextRequest = 1;

const ask = (mesh: RouterMesh, id: string, overrides: Partial<ModelContract> = {}): Asked => {
  const node = mesh.findNode(id);
  const requestId = `request-${nextRequest}`;
  nextRequest += 1;
  const contract = createModelContract({ requestId, timeoutMs: 600_000, ...overrides });
  const decisions: SlotDecision[] = [];
  mesh.run(node, () => {
    const deadlineMs = mesh.nowMs + contract.timeoutMs;
    node.router.askSlot({ contract, deadlineMs }, (decision) => decisions.push(decision));
  });
  return { node, contract, decisions };
};

const release = (mesh: RouterMesh, { node, contract }: Asked): void =>
  mesh.run(node, () => node.router.releaseSlot(contract.requestId, 'finished'));

const withdraw = (mesh: RouterMesh, { node, contract }: Asked): void =>
  mesh.run(node, () => node.router.withdrawAsk(contract.requestId));

const readKinds = ({ decisions }: Asked): string[] => decisions.map(({ kind }) => kind);

const HEAVY = { promptTokens: 100_000 };

/** A prompt that fits an engine only where all memory has come back. */
const WHOLE = { promptTokens: 399_000, maxOutputTokens: 1_000 };

describe('HomeRouter', () => {
  it('grants light requests at once and without a message of their own', () => {
    const mesh = createMesh();
    const before = mesh.sent.length;
    const asked = Array.from({ length: 5 }, () => ask(mesh, 'entry-a1'));
    expect(asked.map(readKinds)).toEqual(asked.map(() => ['granted']));
    expect(mesh.sent.length).toBe(before);
  });

  it('reads one heavy prompt at a time on an engine, and then the next', () => {
    const mesh = createMesh(1);
    const first = ask(mesh, 'entry-a1', HEAVY);
    const second = ask(mesh, 'entry-a2', HEAVY);
    mesh.advance(100);
    expect([readKinds(first), readKinds(second)]).toEqual([['granted'], []]);
    mesh.run(first.node, () => first.node.router.recordFirstToken(first.contract.requestId));
    mesh.advance(100);
    expect(readKinds(second)).toEqual(['granted']);
  });

  it('refuses at once what cannot finish in its time, and says when to come back', () => {
    const mesh = createMesh(1);
    ask(mesh, 'entry-a1', HEAVY);
    const late = ask(mesh, 'entry-a2', { ...HEAVY, timeoutMs: 6_000 });
    mesh.advance(10);
    const [decision] = late.decisions;
    if (decision?.kind !== 'refused') throw new Error('was not refused');
    expect(decision.refusal).toMatchObject({ code: resultCodes.overloaded, ran: 'no' });
    expect(decision.refusal.retryAfterMs).toBeGreaterThan(0);
  });

  it('refuses what is larger than every engine', () => {
    const mesh = createMesh();
    const { decisions } = ask(mesh, 'entry-a1', { promptTokens: 500_000 });
    expect(decisions[0]).toMatchObject({ refusal: { code: resultCodes.promptTooLong } });
  });

  it('serves from its own account when it is cut off from all homes', () => {
    const mesh = createMesh();
    mesh.cutOff.add('entry-a1');
    mesh.advance(2_000);
    const light = ask(mesh, 'entry-a1');
    const heavy = ask(mesh, 'entry-a1', HEAVY);
    mesh.advance(5_000);
    expect([readKinds(light), readKinds(heavy)]).toEqual([['granted'], ['granted']]);
  });

  it('asks the new home when the old one vanishes with the ask', () => {
    const mesh = createMesh(1);
    const home = findOwner('engine-0', IDS) ?? '';
    const other = IDS.find((id) => id !== home) ?? '';
    mesh.link = () => [];
    const asked = ask(mesh, other, HEAVY);
    mesh.cutOff.add(home);
    mesh.link = () => [1];
    mesh.advance(10_000);
    expect(readKinds(asked)).toEqual(['granted']);
  });

  it('gives each ask one decision over links that lose, double and reorder', () => {
    const step = fc.record({
      node: fc.constantFrom(...IDS),
      promptTokens: fc.constantFrom(1_000, 20_000, 60_000, 200_000),
      action: fc.constantFrom('ask', 'ask', 'release', 'withdraw', 'twice', 'firstToken'),
      pick: fc.nat(),
      waitMs: fc.integer({ min: 0, max: 1_500 }),
      link: fc.constantFrom([], [1], [1], [1, 40], [300], [5, 900]),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const mesh = createMesh();
        const asked: Asked[] = [];
        const withdrawn = new Set<Asked>();
        steps.forEach(({ node, promptTokens, action, pick, waitMs, link }) => {
          mesh.link = () => link;
          const one = asked[pick % Math.max(1, asked.length)];
          if (action === 'ask' || one === undefined) asked.push(ask(mesh, node, { promptTokens }));
          else if (action === 'withdraw' && one.decisions.length === 0) {
            withdraw(mesh, one);
            withdrawn.add(one);
          } else if (action === 'firstToken') {
            mesh.run(one.node, () => one.node.router.recordFirstToken(one.contract.requestId));
          } else if (one.decisions.length > 0) {
            release(mesh, one);
            if (action === 'twice') release(mesh, one);
          }
          mesh.advance(waitMs);
        });
        mesh.link = () => [1];
        for (let round = 0; round < 40; round += 1) {
          asked
            .filter(({ decisions }) => decisions.length > 0)
            .forEach((one) => release(mesh, one));
          mesh.advance(2_500);
        }
        asked.forEach((one) => {
          expect(one.decisions.length).toBe(withdrawn.has(one) ? 0 : 1);
        });
        const whole = IDS.map((id) => ask(mesh, id, WHOLE));
        mesh.advance(60_000);
        whole.forEach((one) => release(mesh, one));
        mesh.advance(60_000);
        expect(whole.filter((one) => one.decisions[0]?.kind === 'granted')).toHaveLength(3);
      }),
      { numRuns: 25, seed: 5 },
    );
  });
});
