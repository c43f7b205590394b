import OpenAI from 'openai';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { gather } from './fixtures/gather.js';
import { startTestEngine, type TestEngine } from './fixtures/test-engine.js';
import { startTestEntry, TEST_CREDENTIAL, type TestEntry } from './fixtures/test-entry.js';

const WORDS = ['The ', 'chair ', 'is ', 'free “é”.'];

const answerNext = async (engine: TestEngine): Promise<void> => {
  const stream = await engine.streams.take();
  WORDS.forEach((word) => stream.send(word));
  stream.end();
};

const messages = [{ role: 'user' as const, content: 'Is the chair free?' }];

describe('the openai client, unchanged', () => {
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

  it('gets a whole chat answer with usage', async () => {
    const [answer] = await Promise.all([
      client.chat.completions.create({ model: 'assistant', messages }),
      answerNext(engine),
    ]);
    expect(answer.choices[0]?.message).toMatchObject({
      role: 'assistant',
      content: WORDS.join(''),
    });
    expect(answer.choices[0]?.finish_reason).toBe('stop');
    expect(answer.usage).toEqual({ prompt_tokens: 5, completion_tokens: 4, total_tokens: 9 });
  });

  it('gets a streamed chat answer without usage unless it asks', async () => {
    const stream = await client.chat.completions.create({
      model: 'assistant',
      messages,
      stream: true,
    });
    const [chunks] = await Promise.all([gather(stream), answerNext(engine)]);
    expect(chunks.map(({ choices }) => choices[0]?.delta.content ?? '').join('')).toBe(
      WORDS.join(''),
    );
    expect(chunks[0]?.choices[0]?.delta.role).toBe('assistant');
    expect(chunks.at(-1)?.choices[0]?.finish_reason).toBe('stop');
    expect(chunks.some((chunk) => 'usage' in chunk)).toBe(false);
  });

  it('gets the usage in a last chunk of its own where it asks', async () => {
    const stream = await client.chat.completions.create({
      model: 'assistant',
      messages,
      stream: true,
      stream_options: { include_usage: true },
    });
    const [chunks] = await Promise.all([gather(stream), answerNext(engine)]);
    const last = chunks.at(-1);
    expect(last?.choices).toEqual([]);
    expect(last?.usage).toEqual({ prompt_tokens: 5, completion_tokens: 4, total_tokens: 9 });
    expect(chunks.slice(0, -1).every(({ usage }) => usage === null)).toBe(true);
  });

  it('gets text completions, whole and streamed', async () => {
    const [whole] = await Promise.all([
      client.completions.create({ model: 'assistant', prompt: 'Once' }),
      answerNext(engine),
    ]);
    expect(whole.choices[0]?.text).toBe(WORDS.join(''));
    expect(whole.object).toBe('text_completion');
    const stream = await client.completions.create({
      model: 'assistant',
      prompt: [1, 2, 3],
      stream: true,
    });
    const [chunks] = await Promise.all([gather(stream), answerNext(engine)]);
    expect(chunks.map(({ choices }) => choices[0]?.text).join('')).toBe(WORDS.join(''));
  });

  it('lists models', async () => {
    const models = await gather(client.models.list());
    expect(models.map(({ id }) => id)).toEqual(['assistant']);
    expect((await client.models.retrieve('assistant')).object).toBe('model');
  });

  it('gets typed errors with the result code and the request id', async () => {
    const failed = client.chat.completions.create({ model: 'no-such-model', messages });
    await expect(failed).rejects.toBeInstanceOf(OpenAI.NotFoundError);
    await expect(failed).rejects.toMatchObject({ status: 404, code: 1003, type: 'unknownModel' });
    const fault = (await failed.catch((error: unknown) => error)) as InstanceType<
      typeof OpenAI.APIError
    >;
    expect(fault.requestID).toMatch(/^entry-a1-/);
  });

  it('gets an error where the answer breaks off, never a short answer', async () => {
    const stream = await client.chat.completions.create({
      model: 'assistant',
      messages,
      stream: true,
    });
    // Whatever is tried after the first break breaks off as well.
    const breakFurther = async (): Promise<void> => {
      for (;;) (await engine.streams.take()).breakOff();
    };
    const first = engine.streams.take().then((given) => {
      given.send('The ');
      given.send('chair ');
      return given;
    });
    const seen: string[] = [];
    const read = async (): Promise<void> => {
      for await (const chunk of stream) {
        seen.push(chunk.choices[0]?.delta.content ?? '');
        if (seen.length !== 2) continue;
        (await first).breakOff();
        breakFurther().catch(() => {});
      }
    };
    await expect(read()).rejects.toBeInstanceOf(OpenAI.APIError);
    expect(seen).toEqual(['The ', 'chair ']);
  });
});
