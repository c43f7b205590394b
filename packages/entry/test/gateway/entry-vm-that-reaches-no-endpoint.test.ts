import { afterEach, describe, expect, it } from 'vitest';
import {
  call,
  closeAll,
  startEndpoint,
  startFleetWithoutPath,
} from '../fixtures/fleet-without-path.js';

/** Guards against RECOVER: an entry VM that reached no endpoint refused its callers. */

afterEach(closeAll);

describe('an entry VM that reaches no endpoint (RECOVER)', () => {
  it('has its callers served at the first attempt', async () => {
    const endpoint = await startEndpoint();
    const [cut] = await startFleetWithoutPath(endpoint);
    const answers = [await call(cut.port, 'first').answer, await call(cut.port, 'second').answer];
    expect(answers.map(({ status }) => status)).toEqual([200, 200]);
    expect(answers.map(({ body }) => body)).toEqual(['done first', 'done second']);
    expect(endpoint.runs.map(({ body }) => body)).toEqual(['first', 'second']);
  });
});
