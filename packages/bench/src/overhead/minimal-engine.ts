/**
 * A minimal process with the engines' protocol. It sends either all tokens immediately, or one token
 * per stream in each step, as an engine with a full batch does. It uses little processor time, so
 * that measurements reflect the entry VM. Usage: minimal-engine.js TOKEN_INTERVAL_MS
 */
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Stream {
  readonly streamId: string;
  readonly maxOutputTokens: number;
  readonly response: ServerResponse;
  /** Index of the next token. */
  nextOffset: number;
}

/** Milliseconds between two tokens of a stream; 0 sends all immediately, below 0 sends none. */
const tokenIntervalMs = Number(process.argv[2]);

const streams = new Map<string, Stream>();

const formatToken = ({ streamId, nextOffset }: Stream): string =>
  `data: {"streamId":"${streamId}","offset":${nextOffset},"text":"word "}\n\n`;

const formatEnd = ({ streamId, nextOffset }: Stream): string =>
  `data: {"streamId":"${streamId}","offset":${nextOffset},"end":"length",` +
  `"usage":{"promptTokens":1,"outputTokens":${nextOffset}}}\n\n`;

const sendToken = (stream: Stream): void => {
  stream.response.write(formatToken(stream));
  stream.nextOffset += 1;
  if (stream.nextOffset < stream.maxOutputTokens) return;
  stream.response.end(formatEnd(stream));
  streams.delete(stream.streamId);
};

/** Sends one token per stream in each step; steps follow a fixed schedule and do not drift. */
const runSteps = (): void => {
  const startMs = performance.now();
  let steps = 0;
  const step = (): void => {
    streams.forEach(sendToken);
    steps += 1;
    setTimeout(step, Math.max(0, startMs + (steps + 1) * tokenIntervalMs - performance.now()));
  };
  step();
};

const server = createServer((request, response) => {
  if (request.method !== 'POST') {
    response.end('{"streams":[]}');
    return;
  }
  const parts: Buffer[] = [];
  request.on('data', (part: Buffer) => parts.push(part));
  request.on('end', () => {
    const params = JSON.parse(Buffer.concat(parts).toString()) as Omit<
      Stream,
      'response' | 'nextOffset'
    >;
    const stream = { ...params, response, nextOffset: 0 };
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    streams.set(stream.streamId, stream);
    response.on('close', () => streams.delete(stream.streamId));
    while (tokenIntervalMs === 0 && stream.nextOffset < stream.maxOutputTokens) sendToken(stream);
  });
});
if (tokenIntervalMs > 0) runSteps();
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${JSON.stringify({ port: (server.address() as AddressInfo).port })}\n`);
});
