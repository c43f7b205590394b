import fc from 'fast-check';
import type { Configuration, ModelContract } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import type { SlotDecision, SlotOutcome } from '../../../src/index.js';
import { estimatePrefillMs } from '../../../src/routing/work-estimate.js';
import { createConfiguration, createEngine } from '../../fixtures/configurations.js';
import { createModelContract } from '../../fixtures/contracts.js';
import { RouterMesh } from '../../fixtures/router-mesh.js';

const VM = 'entry-a1';

const RETENTION = { maxAgeMs: 600_000 };

const OUTPUT_TOKENS = 100;

const createFleet = (engineCount: number, overrides: Partial<Configuration> = {}): RouterMesh => {
  const endpoints = Array.from({ length: engineCount }, (_, index) =>
    createEngine({ id: `engine-${index}` }),
  );
  const model = { id: 'assistant', defaultTimeoutMs: 30_000, maxOutputTokens: 256 };
  const models = [{ ...model, prefixRetention: RETENTION }];
  const mesh = new RouterMesh([VM], createConfiguration({ endpoints, models, ...overrides }));
  mesh.advance(1_000);
  return mesh;
};

/** Digests of a prompt: those of its session, after the ones that it shares with none. */
const listDigests = (session: string, blocks: number): string[] =>
  Array.from({ length: blocks }, (_, index) => `${session}.${index}`);

let nextRequestNumber = 1;

interface Sent {
  readonly contract: ModelContract;
  readonly engine: string | undefined;
}

const send = (mesh: RouterMesh, session: string, blocks: number): Sent => {
  const contract = createModelContract({
    requestId: `request-${nextRequestNumber}`,
    timeoutMs: 600_000,
    promptTokens: blocks * 1_024 + 100,
    maxOutputTokens: OUTPUT_TOKENS,
    prefixDigests: listDigests(session, blocks),
  });
  nextRequestNumber += 1;
  const decisions: SlotDecision[] = [];
  const { router } = mesh.findNode(VM);
  mesh.run(mesh.findNode(VM), () =>
    router.requestSlot({ contract, deadlineMs: mesh.nowMs + 600_000 }, (decision) =>
      decisions.push(decision),
    ),
  );
  if (decisions.length === 0) mesh.advance(10);
  const [decision] = decisions;
  return { contract, engine: decision?.kind === 'granted' ? decision.engine.id : undefined };
};

const finish = (
  mesh: RouterMesh,
  { contract }: Sent,
  cachedTokens?: number,
  outcome: SlotOutcome = 'finished',
): void => {
  const { router } = mesh.findNode(VM);
  mesh.run(mesh.findNode(VM), () => {
    router.recordFirstToken(contract.requestId);
    const { promptTokens } = contract;
    const usage = { promptTokens, outputTokens: OUTPUT_TOKENS };
    router.recordUsage(
      contract.requestId,
      cachedTokens === undefined ? usage : { ...usage, cachedTokens },
    );
    router.releaseSlot(contract.requestId, outcome);
  });
};

/** Sends a session's prompts one after another; the engine says that it retained what it read. */
const runSession = (mesh: RouterMesh, session: string, lengths: readonly number[]): string[] => {
  let cachedTokens = 0;
  return lengths.map((blocks) => {
    const sent = send(mesh, session, blocks);
    finish(mesh, sent, cachedTokens);
    // The coordinator gives new credits in its next round.
    mesh.advance(600);
    cachedTokens = blocks * 1_024;
    return sent.engine ?? 'none';
  });
};

describe('retained prefixes', () => {
  it('sends the prompts of a session to the engine that read the ones before, light and heavy', () => {
    const mesh = createFleet(20);
    for (let session = 0; session < 5; session += 1) {
      const engines = runSession(mesh, `session-${session}`, [4, 6, 8, 40, 42]);
      expect(new Set(engines.slice(0, 3)).size).toBe(1);
      expect(engines[4]).toBe(engines[3]);
    }
  });

  it('sends a prompt to an idle engine if the wait exceeds what the prefix saves', () => {
    const mesh = createFleet(2);
    const [engine] = runSession(mesh, 'session', [2]);
    // Two blocks save 103 ms; each of these prompts takes 520 ms, one at each engine.
    const others = [send(mesh, 'other-1', 10), send(mesh, 'other-2', 10)];
    expect(new Set(others.map((sent) => sent.engine)).size).toBe(2);
    others.filter((sent) => sent.engine !== engine).forEach((sent) => finish(mesh, sent));
    expect(send(mesh, 'session', 3).engine).not.toBe(engine);
  });

  it('spreads one beginning so that no engine has a queue that exceeds the saving', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 2, max: 6 }),
        fc.integer({ min: 2, max: 30 }),
        (engineCount, blocks) => {
          const mesh = createFleet(engineCount);
          const first = send(mesh, 'hot', blocks);
          finish(mesh, first, 0);
          const savedMs = estimatePrefillMs(createEngine(), blocks * 1_024);
          const wholeMs = estimatePrefillMs(createEngine(), first.contract.promptTokens);
          const queues = new Map<string, number>();
          for (let request = 0; request < 400; request += 1) {
            const { engine } = send(mesh, 'hot', blocks);
            if (engine === undefined) break;
            const aheadMs = queues.get(engine) ?? 0;
            const others = queues.size < engineCount ? 0 : Math.min(...queues.values());
            if (engine === first.engine) expect(aheadMs - others).toBeLessThanOrEqual(savedMs);
            const workMs = engine === first.engine ? wholeMs - savedMs : wholeMs;
            queues.set(engine, aheadMs + workMs);
          }
          expect(queues.size).toBe(engineCount);
        },
      ),
      { seed: 20_261_206, numRuns: 30 },
    );
  });

  it('does not look at prefixes if the model declares no retention', () => {
    const plain = { id: 'assistant', defaultTimeoutMs: 30_000, maxOutputTokens: 256 };
    const mesh = createFleet(20, { models: [plain] });
    const engines = ['a', 'b', 'c'].map((session) => runSession(mesh, session, [4, 40])[1]);
    expect(engines).toEqual(['engine-0', 'engine-0', 'engine-0']);
    const declaring = createFleet(20);
    const others = ['a', 'b', 'c'].map((session) => runSession(declaring, session, [4, 40]));
    others.forEach(([light, heavy]) => expect(heavy).toBe(light));
    expect(others.map(([, heavy]) => heavy)).not.toEqual(engines);
  });
});
