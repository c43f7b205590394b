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

interface SentRequest {
  readonly node: MeshNode;
  readonly contract: ModelContract;
  readonly decisions: SlotDecision[];
}

let nextRequestNumber = 1;

const sendRequest = (
  mesh: RouterMesh,
  id: string,
  overrides: Partial<ModelContract> = {},
): SentRequest => {
  const node = mesh.findNode(id);
  const requestId = `request-${nextRequestNumber}`;
  nextRequestNumber += 1;
  const contract = createModelContract({ requestId, timeoutMs: 600_000, ...overrides });
  const decisions: SlotDecision[] = [];
  mesh.run(node, () => {
    const deadlineMs = mesh.nowMs + contract.timeoutMs;
    node.router.requestSlot({ contract, deadlineMs }, (decision) => decisions.push(decision));
  });
  return { node, contract, decisions };
};

const release = (mesh: RouterMesh, { node, contract }: SentRequest): void =>
  mesh.run(node, () => node.router.releaseSlot(contract.requestId, 'finished'));

const cancel = (mesh: RouterMesh, { node, contract }: SentRequest): void =>
  mesh.run(node, () => node.router.cancelSlotRequest(contract.requestId));

const readKinds = ({ decisions }: SentRequest): string[] => decisions.map(({ kind }) => kind);

const HEAVY = { promptTokens: 100_000 };

/** A prompt that fits an engine only when all of its memory is free. */
const WHOLE_MEMORY = { promptTokens: 399_000, maxOutputTokens: 1_000 };

describe('CoordinatedRouter', () => {
  it('grants light requests immediately, without a message for each request', () => {
    const mesh = createMesh();
    const before = mesh.sent.length;
    const sent = Array.from({ length: 5 }, () => sendRequest(mesh, 'entry-a1'));
    expect(sent.map(readKinds)).toEqual(sent.map(() => ['granted']));
    expect(mesh.sent.length).toBe(before);
  });

  it('grants heavy requests on an engine one at a time', () => {
    const mesh = createMesh(1);
    const first = sendRequest(mesh, 'entry-a1', HEAVY);
    const second = sendRequest(mesh, 'entry-a2', HEAVY);
    mesh.advance(100);
    expect([readKinds(first), readKinds(second)]).toEqual([['granted'], []]);
    mesh.run(first.node, () => first.node.router.recordFirstToken(first.contract.requestId));
    mesh.advance(100);
    expect(readKinds(second)).toEqual(['granted']);
  });

  it('refuses a request that would miss its deadline, with a retry-after time', () => {
    const mesh = createMesh(1);
    sendRequest(mesh, 'entry-a1', HEAVY);
    const second = sendRequest(mesh, 'entry-a2', { ...HEAVY, timeoutMs: 6_000 });
    mesh.advance(10);
    const [decision] = second.decisions;
    if (decision?.kind !== 'refused') throw new Error('the request was not refused');
    expect(decision.refusal).toMatchObject({ code: resultCodes.overloaded, ran: 'no' });
    expect(decision.refusal.retryAfterMs).toBeGreaterThan(0);
  });

  it('refuses a request that is larger than every engine', () => {
    const mesh = createMesh();
    const { decisions } = sendRequest(mesh, 'entry-a1', { promptTokens: 500_000 });
    expect(decisions[0]).toMatchObject({ refusal: { code: resultCodes.promptTooLong } });
  });

  it('grants slots locally when no coordinator is reachable', () => {
    const mesh = createMesh();
    mesh.disconnected.add('entry-a1');
    mesh.advance(2_000);
    const light = sendRequest(mesh, 'entry-a1');
    const heavy = sendRequest(mesh, 'entry-a1', HEAVY);
    mesh.advance(5_000);
    expect([readKinds(light), readKinds(heavy)]).toEqual([['granted'], ['granted']]);
  });

  it('requests the slot from the new coordinator when the old one fails before it grants', () => {
    const mesh = createMesh(1);
    const coordinator = findOwner('engine-0', IDS) ?? '';
    const other = IDS.find((id) => id !== coordinator) ?? '';
    mesh.link = () => [];
    const sent = sendRequest(mesh, other, HEAVY);
    mesh.disconnected.add(coordinator);
    mesh.link = () => [1];
    mesh.advance(10_000);
    expect(readKinds(sent)).toEqual(['granted']);
  });

  it('decides each slot request once over links that lose, duplicate and reorder messages', () => {
    const step = fc.record({
      node: fc.constantFrom(...IDS),
      promptTokens: fc.constantFrom(1_000, 20_000, 60_000, 200_000),
      action: fc.constantFrom(
        'request',
        'request',
        'release',
        'cancel',
        'releaseTwice',
        'firstToken',
      ),
      pick: fc.nat(),
      waitMs: fc.integer({ min: 0, max: 1_500 }),
      link: fc.constantFrom([], [1], [1], [1, 40], [300], [5, 900]),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const mesh = createMesh();
        const sent: SentRequest[] = [];
        const cancelled = new Set<SentRequest>();
        steps.forEach(({ node, promptTokens, action, pick, waitMs, link }) => {
          mesh.link = () => link;
          const sentRequest = sent[pick % Math.max(1, sent.length)];
          if (action === 'request' || sentRequest === undefined)
            sent.push(sendRequest(mesh, node, { promptTokens }));
          else if (action === 'cancel' && sentRequest.decisions.length === 0) {
            cancel(mesh, sentRequest);
            cancelled.add(sentRequest);
          } else if (action === 'firstToken') {
            mesh.run(sentRequest.node, () =>
              sentRequest.node.router.recordFirstToken(sentRequest.contract.requestId),
            );
          } else if (sentRequest.decisions.length > 0) {
            release(mesh, sentRequest);
            if (action === 'releaseTwice') release(mesh, sentRequest);
          }
          mesh.advance(waitMs);
        });
        mesh.link = () => [1];
        for (let round = 0; round < 40; round += 1) {
          sent
            .filter(({ decisions }) => decisions.length > 0)
            .forEach((sentRequest) => release(mesh, sentRequest));
          mesh.advance(2_500);
        }
        sent.forEach((sentRequest) => {
          expect(sentRequest.decisions.length).toBe(cancelled.has(sentRequest) ? 0 : 1);
        });
        const largeRequests = IDS.map((id) => sendRequest(mesh, id, WHOLE_MEMORY));
        mesh.advance(60_000);
        largeRequests.forEach((sentRequest) => release(mesh, sentRequest));
        mesh.advance(60_000);
        expect(
          largeRequests.filter((sentRequest) => sentRequest.decisions[0]?.kind === 'granted'),
        ).toHaveLength(3);
      }),
      { numRuns: 25, seed: 5 },
    );
  });
});
