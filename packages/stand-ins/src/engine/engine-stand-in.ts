import type { ServerResponse } from 'node:http';
import {
  readBody,
  sendJson,
  startRouteServer,
  type RouteHandler,
  type RunningServer,
} from '../http/route-server.js';
import {
  createPlacementOrderRoutes,
  PlacementOrderHandler,
  type PlacementOrderSettings,
} from './placement-order-handler.js';
import { EngineSimulator } from './engine-simulator.js';
import type { EngineSimulatorSettings, SimulatedStream, StreamRequest } from './types.js';

/** Settings of the engine stand-in; port 0 selects a free port. */
export interface EngineSettings extends EngineSimulatorSettings {
  readonly port: number;
  /** Settings of the placement order API; the engine does not serve it if they are absent. */
  readonly orders?: PlacementOrderSettings;
}

/**
 * Sends the tokens of a stream from an offset as server-sent events. After the last token it sends
 * an end event and releases the stream. It replaces the response that was attached before.
 */
const attachResponse = (
  simulator: EngineSimulator,
  stream: SimulatedStream,
  offset: number,
  response: ServerResponse,
): void => {
  let nextOffset = offset;
  const writeNewTokens = (): void => {
    for (; nextOffset < stream.tokens.length; nextOffset += 1) {
      const event = {
        streamId: stream.streamId,
        offset: nextOffset,
        text: stream.tokens[nextOffset],
      };
      response.write(`data: ${JSON.stringify(event)}\n\n`);
    }
    if (!stream.finished) return;
    const { streamId, promptTokens, tokens, cachedTokens } = stream;
    const usage = { promptTokens, outputTokens: tokens.length, cachedTokens };
    const endEvent = { streamId, offset: tokens.length, end: 'length', usage };
    response.end(`data: ${JSON.stringify(endEvent)}\n\n`);
    simulator.releaseStream(streamId);
  };
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  response.flushHeaders();
  stream.listener = writeNewTokens;
  response.on('close', () => {
    if (stream.listener === writeNewTokens) stream.listener = undefined;
  });
  writeNewTokens();
};

const describeStream = (stream: SimulatedStream): object => ({
  streamId: stream.streamId,
  memoryTokens: stream.memoryTokens,
  attached: stream.listener !== undefined,
  ageMs: performance.now() - stream.startedAtMs,
});

/** Starts an HTTP engine that generates words with the timing and memory limits of its settings. */
export const startEngine = (settings: EngineSettings): Promise<RunningServer> => {
  const simulator = new EngineSimulator(settings);
  const startStream: RouteHandler = async (request, response) => {
    const body = JSON.parse(await readBody(request)) as StreamRequest;
    const stream = simulator.startStream(body);
    if (stream === undefined) sendJson(response, 409, { error: 'memory' });
    else attachResponse(simulator, stream, 0, response);
  };
  const resumeStream: RouteHandler = (request, response, streamId) => {
    const stream = simulator.findStream(streamId);
    const offset = Number(new URL(request.url ?? '/', 'http://engine').searchParams.get('offset'));
    if (stream === undefined) sendJson(response, 404, { error: 'unknown stream' });
    else attachResponse(simulator, stream, offset, response);
  };
  return startRouteServer(
    {
      ...(settings.orders
        ? createPlacementOrderRoutes(new PlacementOrderHandler(settings.orders))
        : {}),
      'POST /v1/streams': startStream,
      'GET /v1/streams/*': resumeStream,
      'GET /v1/streams': (_request, response) =>
        sendJson(response, 200, { streams: simulator.listStreams().map(describeStream) }),
      'DELETE /v1/streams/*': (_request, response, streamId) =>
        sendJson(response, 200, { released: simulator.releaseStream(streamId) }),
      'GET /v1/load': (_request, response) => sendJson(response, 200, simulator.readLoad()),
      'GET /v1/cache-events': (request, response) => {
        const url = new URL(request.url ?? '/', 'http://engine');
        const after = Number(url.searchParams.get('after'));
        sendJson(response, 200, { events: simulator.listCacheEvents(after) });
      },
    },
    settings.port,
  );
};
