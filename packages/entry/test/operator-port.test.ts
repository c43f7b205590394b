import { afterEach, expect, it } from 'vitest';
import { startTestEntry, type TestEntry } from './fixtures/test-entry.js';

const HTTP_UNAUTHORIZED = 401;

let entry: TestEntry | undefined;

afterEach(() => entry?.close());

it('reports the port of the operator API if the settings give port 0', async () => {
  entry = await startTestEntry();
  const response = await fetch(`http://127.0.0.1:${entry.entry.operatorPort}/v1/status`);
  expect(response.status).toBe(HTTP_UNAUTHORIZED);
});
