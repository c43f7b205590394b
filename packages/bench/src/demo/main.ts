import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { CONFIGURATION_HEAD_KEY, tables } from '@savorywind/model';
import { startEntry, startStandIn, type StartedProcess } from '../process/child-process.js';
import { createDemoHead, DEMO_CREDENTIAL } from './declarations.js';

const READY_ATTEMPTS = 100;
const READY_PAUSE_MS = 100;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const check = (holds: boolean, what: string): void => {
  say(`${holds ? 'ok' : 'WRONG'}: ${what}`);
  if (!holds) process.exitCode = 1;
};

const waitReady = async (url: string): Promise<void> => {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
    const ready = await fetch(`${url}/healthz/ready`).then(
      ({ ok }) => ok,
      () => false,
    );
    if (ready) return;
    await new Promise((resolve) => {
      setTimeout(resolve, READY_PAUSE_MS);
    });
  }
  throw new Error(`${url} did not become ready`);
};

const headers = {
  authorization: `Bearer ${DEMO_CREDENTIAL}`,
  'content-type': 'application/json',
};

const checkChat = async (url: string): Promise<void> => {
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify({
      model: 'assistant',
      stream: true,
      max_tokens: 12,
      messages: [{ role: 'user', content: 'Is the chair by the window free on Saturday?' }],
    }),
  });
  const text = await response.text();
  const parts = text.split('\n\n').filter((part) => part.startsWith('data: {'));
  const whole = text.trimEnd().endsWith('data: [DONE]');
  check(response.status === 200 && whole && parts.length === 13, 'streamed chat answer is whole');
};

const checkBooking = async (url: string): Promise<void> => {
  const options = {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': 'saturday-1' },
    body: JSON.stringify({ id: 'saturday' }),
  };
  const first = await fetch(`${url}/services/booking/bookings`, options);
  check(first.status === 201, 'booking was made');
  await fetch(`${url}/services/booking/bookings`, options);
  const lookup = await fetch(`${url}/services/booking/bookings/saturday`, { headers });
  const { runs } = (await lookup.json()) as { runs: number };
  check(runs === 1, 'the same booking sent twice ran once');
};

const started: StartedProcess[] = [];

const startStandIns = async () => {
  const engine = await startStandIn('engine', {
    port: 0,
    memoryTokens: 400_000,
    prefillTokensPerS: 20_000,
    decodeTokensPerS: 100,
  });
  const booking = await startStandIn('service', { port: 0, name: 'booking' });
  const platform = await startStandIn('platform', { port: 0 });
  started.push(engine, booking, platform);
  return { engine, booking, platform };
};

const runDemo = async (folder: string): Promise<void> => {
  const { engine, booking, platform } = await startStandIns();
  say('started: engine, booking service and platform, each a process');
  const operation = {
    kind: 'insert',
    table: tables.configuration,
    key: CONFIGURATION_HEAD_KEY,
    value: createDemoHead({ engine: engine.port, booking: booking.port }),
  };
  await fetch(`http://127.0.0.1:${platform.port}/v1/tables`, {
    method: 'POST',
    body: JSON.stringify({ operations: [operation] }),
  });
  const host = '127.0.0.1';
  const file = join(folder, 'entry-a1.json');
  writeFileSync(
    file,
    JSON.stringify({
      id: 'entry-a1',
      failureDomain: 'a',
      callers: { host, port: 0 },
      operators: { host, port: 0 },
      links: { host, port: 0 },
      platform: { host, port: platform.port },
    }),
  );
  const entry = await startEntry(file);
  started.push(entry);
  const balancer = await startStandIn('balancer', {
    port: 0,
    backends: [{ host, port: entry.port }],
  });
  started.push(balancer);
  say('started: entry VM and balancer');
  const url = `http://${host}:${balancer.port}`;
  await waitReady(url);
  await checkChat(url);
  await checkBooking(url);
  entry.child.kill('SIGTERM');
  check((await entry.exited) === 0, 'entry VM stopped gracefully');
};

const folder = mkdtempSync(join(tmpdir(), 'savorywind-demo-'));
try {
  await runDemo(folder);
} finally {
  started.forEach(({ child }) => child.kill('SIGKILL'));
  rmSync(folder, { recursive: true });
}
say(process.exitCode === 1 ? 'demo: FAILED' : 'demo: every answer was right');
