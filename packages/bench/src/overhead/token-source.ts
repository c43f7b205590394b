/**
 * The smallest process that speaks the engines' protocol: either all tokens at once, or one token for
 * each stream in every step, as an engine with a full batch does. Costs as little as possible, so
 * that what is measured is the entry VM.
 */
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Stream {
  readonly streamId: string;
  readonly maxOutputTokens: number;
  readonly response: ServerResponse;
  next: number;
}

/** Milliseconds between two tokens of a stream; 0 sends all at once, below 0 nothing is sent. */
const stepMs = Number(process.argv[2]);

const streams = new Map<string, Stream>();

const formatToken = ({ streamId, next }: Stream): string =>
  `data: {"streamId":"${streamId}","offset":${next},"text":"word "}\n\n`;

const formatEnd = ({ streamId, next }: Stream): string =>
  `data: {"streamId":"${streamId}","offset":${next},"end":"length",` +
  `"usage":{"promptTokens":1,"outputTokens":${next}}}\n\n`;

const sendToken = (stream: Stream): void => {
  stream.response.write(formatToken(stream));
  stream.next += 1;
  if (stream.next < stream.maxOutputTokens) return;
  stream.response.end(formatEnd(stream));
  streams.delete(stream.streamId);
};

const runSteps = (): void => {
  const startMs = performance.now();
  let steps = 0;
  const step = (): void => {
    streams.forEach(sendToken);
    steps += 1;
    setTimeout(step, Math.max(0, startMs + (steps + 1) * stepMs - performance.now()));
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
    const ask = JSON.parse(Buffer.concat(parts).toString()) as Omit<Stream, 'response' | 'next'>;
    const stream = { ...ask, response, next: 0 };
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    streams.set(stream.streamId, stream);
    response.on('close', () => streams.delete(stream.streamId));
    while (stepMs === 0 && stream.next < stream.maxOutputTokens) sendToken(stream);
  });
});
if (stepMs > 0) runSteps();
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${JSON.stringify({ port: (server.address() as AddressInfo).port })}\n`);
});
