import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { BodyBudget } from '../../src/callers/body-budget.js';
import {
  BodyReader,
  type BodyFailure,
  type BodyRoom,
} from '../../src/gateway/callers/body-reader.js';
import { MemoryBudget } from '../../src/gateway/memory/memory-budget.js';
import { UnfinishedBodies } from '../../src/gateway/memory/unfinished-bodies.js';

interface Reading {
  readonly reader: BodyReader;
  readonly body: PassThrough;
  /** The body's text, or why it could not be read. */
  readonly outcome: Promise<string | BodyFailure>;
}

const startReading = (budget: BodyRoom, maxBytes = 100): Reading => {
  const body = new PassThrough();
  let reader: BodyReader | undefined;
  const outcome = new Promise<string>((resolve) => {
    reader = new BodyReader({
      incoming: body as unknown as IncomingMessage,
      budget,
      maxBytes,
      timeoutMs: 10_000,
      onChunkRead: () => {},
      onFailed: resolve,
      onRead: (bytes) => resolve(bytes.toString()),
    });
  });
  return { reader: reader!, body, outcome };
};

describe('BodyReader', () => {
  it('refuses a body over the shared budget until another body is released', async () => {
    const budget = new BodyBudget(10);
    const first = startReading(budget);
    first.body.end('12345678');
    expect(await first.outcome).toBe('12345678');
    const second = startReading(budget);
    second.body.end('abcd');
    expect(await second.outcome).toBe('noRoom');
    first.reader.release();
    const third = startReading(budget);
    third.body.end('abcd');
    expect(await third.outcome).toBe('abcd');
  });

  it('refuses a body over its own limit and returns its bytes to the budget', async () => {
    const budget = new BodyBudget(10);
    const long = startReading(budget, 5);
    long.body.write('1234');
    long.body.end('5678');
    expect(await long.outcome).toBe('tooLarge');
    expect(budget.reserve(10)).toBe(true);
  });

  it('has nobody refused for room beyond what its body needs', async () => {
    let nowMs = 0;
    const refused: string[] = [];
    const bodies = new UnfinishedBodies({
      budget: new MemoryBudget(140_000),
      onRefused: () => {},
      readNowMs: () => nowMs,
    });
    bodies.reserve(60_000);
    bodies.addBody({ heldBytes: 60_000, refuse: () => refused.push('slow upload') });
    nowMs = 2_000;
    const { body, outcome } = startReading(bodies, 80_000);
    body.write(Buffer.alloc(30_000));
    body.end(Buffer.alloc(5_000));
    expect(await outcome).toHaveLength(35_000);
    expect(refused).toEqual([]);
  });
});
