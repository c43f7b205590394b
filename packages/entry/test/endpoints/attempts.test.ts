import type { NodeEvent } from '@savorywind/decisions';
import type { Endpoint } from '@savorywind/model';
import { reservePort } from '@savorywind/stand-ins';
import { describe, expect, it } from 'vitest';
import type { CallerRequest } from '../../src/callers/types.js';
import { FlowControl } from '../../src/callers/flow-control.js';
import { startEngineAttempt } from '../../src/endpoints/engine-attempt.js';
import { startServiceAttempt } from '../../src/endpoints/service-attempt.js';
import {
  createEngine,
  createModelContract,
  createReplica,
  createServiceContract,
  RawEndpoint,
  runAttempt,
  type SocketScript,
} from '../fixtures/endpoints.js';

const base = { method: 'POST', path: '/bookings', headers: {}, body: Buffer.from('{}') };
const requests = {
  engine: { ...base, contract: createModelContract() },
  service: { ...base, contract: createServiceContract() },
} as const;
const starters = { engine: startEngineAttempt, service: startServiceAttempt } as const;
const endpoints = {
  engine: (port: number): Endpoint => createEngine(port),
  service: (port: number): Endpoint => createReplica(port),
} as const;

type Kind = keyof typeof requests;

const describeEvent = (event: NodeEvent): string => {
  if (event.kind === 'attempt.failed') return event.failure;
  return event.kind.replace('attempt.', '');
};

const run = async (kind: Kind, port: number, overrides = {}): Promise<string[]> => {
  const request: CallerRequest = { ...requests[kind], flowControl: new FlowControl() };
  const events = await runAttempt(starters[kind], endpoints[kind](port), request, overrides);
  return events.map(describeEvent);
};

const reset: SocketScript = (socket) => socket.resetAndDestroy();

const HEAD = 'HTTP/1.1 200 OK\r\n';
const SERVICE_HEADERS = 'Content-Length: 6\r\n\r\n';
const ENGINE_HEADERS = 'Content-Type: text/event-stream\r\n\r\n';
const TOKEN_EVENT = 'data: {"streamId":"stream-1","offset":0,"text":"a"}\n\n';
const END_EVENT = 'data: {"streamId":"stream-1","offset":1,"end":"stop"}\n\n';

const closeAfter =
  (...parts: string[]): SocketScript =>
  (socket) => {
    socket.end(parts.join(''));
  };

const resetAfter =
  (...parts: string[]): SocketScript =>
  (socket) => {
    socket.write(parts.join(''), () => setImmediate(() => socket.resetAndDestroy()));
  };

describe('attempts over real sockets', () => {
  it.each<[name: string, kind: Kind, script: SocketScript, events: string[]]>([
    ['a reset before the response', 'service', reset, ['broken']],
    ['a reset before the response', 'engine', reset, ['broken']],
    [
      'a complete response',
      'service',
      closeAfter(HEAD, SERVICE_HEADERS, 'booked'),
      ['headReceived', 'chunkReceived', 'ended'],
    ],
    [
      'an incomplete response',
      'service',
      closeAfter(HEAD, SERVICE_HEADERS, 'boo'),
      ['headReceived', 'chunkReceived', 'broken'],
    ],
    [
      'a complete response',
      'engine',
      closeAfter(HEAD, ENGINE_HEADERS, TOKEN_EVENT, END_EVENT),
      ['headReceived', 'chunkReceived', 'ended'],
    ],
    [
      'a missing end event',
      'engine',
      closeAfter(HEAD, ENGINE_HEADERS, TOKEN_EVENT),
      ['headReceived', 'chunkReceived', 'broken'],
    ],
    [
      'an event of another stream',
      'engine',
      closeAfter(HEAD, ENGINE_HEADERS, TOKEN_EVENT.replace('-1', '-2')),
      ['headReceived', 'invalid'],
    ],
    [
      'an event that is not JSON',
      'engine',
      closeAfter(HEAD, ENGINE_HEADERS, 'data: {\n\n'),
      ['headReceived', 'invalid'],
    ],
    [
      'an event without an offset',
      'engine',
      closeAfter(HEAD, ENGINE_HEADERS, 'data: {"streamId":"stream-1"}\n\n'),
      ['headReceived', 'invalid'],
    ],
    [
      'status 409',
      'engine',
      closeAfter('HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'),
      ['rejected'],
    ],
    [
      'status 500',
      'engine',
      closeAfter('HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n'),
      ['invalid'],
    ],
  ])('report %s (%s)', async (_name, kind, script, events) => {
    const endpoint = await RawEndpoint.start(script);
    expect(await run(kind, endpoint.port)).toEqual(events);
    await endpoint.stop();
  });

  it.each<[kind: Kind, parts: string[]]>([
    ['service', [HEAD, SERVICE_HEADERS, 'b']],
    ['engine', [HEAD, ENGINE_HEADERS, TOKEN_EVENT]],
  ])(
    'never report the end of a response that is reset after its first byte (%s)',
    async (kind, parts) => {
      const endpoint = await RawEndpoint.start(resetAfter(...parts));
      const events = await run(kind, endpoint.port);
      expect(events.at(-1)).toBe('broken');
      expect(events).not.toContain('ended');
      await endpoint.stop();
    },
  );

  it.each<[Kind]>([['service'], ['engine']])(
    'report a refused connection as not sent (%s)',
    async (kind) => {
      expect(await run(kind, await reservePort())).toEqual(['notSent']);
    },
  );

  it.each<[Kind]>([['service'], ['engine']])(
    'send nothing once the deadline has passed (%s)',
    async (kind) => {
      const endpoint = await RawEndpoint.start(reset);
      const events = await run(kind, endpoint.port, { deadlineMs: performance.now() });
      expect(events).toEqual(['notSent']);
      await endpoint.stop();
      expect(endpoint.receivedBytes).toBe(0);
    },
  );
});
