import OpenAI from 'openai';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { collectAll } from './fixtures/collect-all.js';
import { startTestEngine, type TestEngine } from './fixtures/test-engine.js';
import { startTestEntry, TEST_CREDENTIAL, type TestEntry } from './fixtures/test-entry.js';

const TOKENS = ['The ', 'chair ', 'is ', 'free “é”.'];

const respondToNextStream = async (engine: TestEngine): Promise<void> => {
  const stream = await engine.streams.take();
  TOKENS.forEach((token) => stream.send(token));
  stream.end();
};

const messages = [{ role: 'user' as const, content: 'Is the chair free?' }];

describe('the unmodified OpenAI client', () => {
  let engine: TestEngine;
  let entry: TestEntry;
  let client: OpenAI;

  beforeAll(async () => {
    engine = await startTestEngine();
    entry = await startTestEntry({ enginePort: engine.port });
    client = new OpenAI({
      apiKey: TEST_CREDENTIAL,
      baseURL: `${entry.url}/v1`,
      maxRetries: 0,
    });
  });

  afterAll(async () => {
    await entry.close();
    await engine.close();
  });

  it('receives a complete chat response with usage', async () => {
    const [completion] = await Promise.all([
      client.chat.completions.create({ model: 'assistant', messages }),
      respondToNextStream(engine),
    ]);
    expect(completion.choices[0]?.message).toMatchObject({
      role: 'assistant',
      content: TOKENS.join(''),
    });
    expect(completion.choices[0]?.finish_reason).toBe('stop');
    expect(completion.usage).toEqual({ prompt_tokens: 5, completion_tokens: 4, total_tokens: 9 });
  });

  it('receives a streamed chat response without usage by default', async () => {
    const stream = await client.chat.completions.create({
      model: 'assistant',
      messages,
      stream: true,
    });
    const [chunks] = await Promise.all([collectAll(stream), respondToNextStream(engine)]);
    expect(chunks.map(({ choices }) => choices[0]?.delta.content ?? '').join('')).toBe(
      TOKENS.join(''),
    );
    expect(chunks[0]?.choices[0]?.delta.role).toBe('assistant');
    expect(chunks.at(-1)?.choices[0]?.finish_reason).toBe('stop');
    expect(chunks.some((chunk) => 'usage' in chunk)).toBe(false);
  });

  it('receives the usage in a separate last chunk if requested', async () => {
    const stream = await client.chat.completions.create({
      model: 'assistant',
      messages,
      stream: true,
      stream_options: { include_usage: true },
    });
    const [chunks] = await Promise.all([collectAll(stream), respondToNextStream(engine)]);
    const last = chunks.at(-1);
    expect(last?.choices).toEqual([]);
    expect(last?.usage).toEqual({ prompt_tokens: 5, completion_tokens: 4, total_tokens: 9 });
    expect(chunks.slice(0, -1).every(({ usage }) => usage === null)).toBe(true);
  });

  it('receives text completions, non-streamed and streamed', async () => {
    const [completion] = await Promise.all([
      client.completions.create({ model: 'assistant', prompt: 'Once' }),
      respondToNextStream(engine),
    ]);
    expect(completion.choices[0]?.text).toBe(TOKENS.join(''));
    expect(completion.object).toBe('text_completion');
    const stream = await client.completions.create({
      model: 'assistant',
      prompt: [1, 2, 3],
      stream: true,
    });
    const [chunks] = await Promise.all([collectAll(stream), respondToNextStream(engine)]);
    expect(chunks.map(({ choices }) => choices[0]?.text).join('')).toBe(TOKENS.join(''));
  });

  it('lists models', async () => {
    const models = await collectAll(client.models.list());
    expect(models.map(({ id }) => id)).toEqual(['assistant']);
    expect((await client.models.retrieve('assistant')).object).toBe('model');
  });

  it('receives typed errors with the result code and the request id', async () => {
    const failed = client.chat.completions.create({ model: 'no-such-model', messages });
    await expect(failed).rejects.toBeInstanceOf(OpenAI.NotFoundError);
    await expect(failed).rejects.toMatchObject({ status: 404, code: 1003, type: 'unknownModel' });
    const error = (await failed.catch((reason: unknown) => reason)) as InstanceType<
      typeof OpenAI.APIError
    >;
    expect(error.requestID).toMatch(/^entry-a1-/);
  });

  it('receives an error, not a truncated response, when the stream breaks', async () => {
    const stream = await client.chat.completions.create({
      model: 'assistant',
      messages,
      stream: true,
    });
    // Every retry after the first broken stream is broken as well.
    const breakRetries = async (): Promise<void> => {
      for (;;) (await engine.streams.take()).abort();
    };
    const first = engine.streams.take().then((firstStream) => {
      firstStream.send('The ');
      firstStream.send('chair ');
      return firstStream;
    });
    const received: string[] = [];
    const read = async (): Promise<void> => {
      for await (const chunk of stream) {
        received.push(chunk.choices[0]?.delta.content ?? '');
        if (received.length !== 2) continue;
        (await first).abort();
        breakRetries().catch(() => {});
      }
    };
    await expect(read()).rejects.toBeInstanceOf(OpenAI.APIError);
    expect(received).toEqual(['The ', 'chair ']);
  });
});
