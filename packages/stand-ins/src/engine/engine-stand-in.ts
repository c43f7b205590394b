import type { ServerResponse } from 'node:http';
import {
  readBody,
  sendJson,
  startRouteServer,
  type RouteHandler,
  type RunningServer,
} from '../http/route-server.js';
import { createOrderRoutes, EngineOrders, type EngineOrdersSettings } from './engine-orders.js';
import { EngineModel } from './engine-model.js';
import type { EngineModelSettings, ModelStream, StreamAsk } from './types.js';

export interface EngineSettings extends EngineModelSettings {
  readonly port: number;
  /** Without it the engine takes no orders. */
  readonly orders?: EngineOrdersSettings;
}

/** Writes tokens from an offset on as server-sent events, and the end marker after the last. */
const attachReader = (
  model: EngineModel,
  stream: ModelStream,
  offset: number,
  response: ServerResponse,
): void => {
  let next = offset;
  const flush = (): void => {
    for (; next < stream.tokens.length; next += 1) {
      const event = { streamId: stream.streamId, offset: next, text: stream.tokens[next] };
      response.write(`data: ${JSON.stringify(event)}\n\n`);
    }
    if (!stream.finished) return;
    const { streamId, promptTokens, tokens } = stream;
    const usage = { promptTokens, outputTokens: tokens.length };
    const end = { streamId, offset: tokens.length, end: 'length', usage };
    response.end(`data: ${JSON.stringify(end)}\n\n`);
    model.releaseStream(streamId);
  };
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  response.flushHeaders();
  stream.listener = flush;
  response.on('close', () => {
    if (stream.listener === flush) stream.listener = undefined;
  });
  flush();
};

const describeStream = (stream: ModelStream): object => ({
  streamId: stream.streamId,
  memoryTokens: stream.memoryTokens,
  attached: stream.listener !== undefined,
  ageMs: performance.now() - stream.startedAtMs,
});

/** Starts a small engine that generates words in the pace of its settings. */
export const startEngine = (settings: EngineSettings): Promise<RunningServer> => {
  const model = new EngineModel(settings);
  const startStream: RouteHandler = async (request, response) => {
    const body = JSON.parse(await readBody(request)) as StreamAsk;
    const stream = model.startStream(body);
    if (stream === undefined) sendJson(response, 409, { error: 'memory' });
    else attachReader(model, stream, 0, response);
  };
  const resumeStream: RouteHandler = (request, response, streamId) => {
    const stream = model.findStream(streamId);
    const offset = Number(new URL(request.url ?? '/', 'http://engine').searchParams.get('offset'));
    if (stream === undefined) sendJson(response, 404, { error: 'unknown stream' });
    else attachReader(model, stream, offset, response);
  };
  return startRouteServer(
    {
      ...(settings.orders ? createOrderRoutes(new EngineOrders(settings.orders)) : {}),
      'POST /v1/streams': startStream,
      'GET /v1/streams/*': resumeStream,
      'GET /v1/streams': (_request, response) =>
        sendJson(response, 200, { streams: model.listStreams().map(describeStream) }),
      'DELETE /v1/streams/*': (_request, response, streamId) =>
        sendJson(response, 200, { released: model.releaseStream(streamId) }),
      'GET /v1/load': (_request, response) => sendJson(response, 200, model.readLoad()),
      'GET /v1/cache-events': (request, response) => {
        const url = new URL(request.url ?? '/', 'http://engine');
        const after = Number(url.searchParams.get('after'));
        sendJson(response, 200, { events: model.listCacheEvents(after) });
      },
    },
    settings.port,
  );
};
