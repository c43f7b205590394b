import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';
import { describeModel, listModels, openModelRequest } from './models/model-routes.js';
import { parseServicePath } from './services/service-path.js';
import { openServiceCall } from './services/service-routes.js';
import type { Arrival, CallerSession } from './types.js';

/** What becomes of a request: a session to be opened, a refusal, or an answer already sent. */
export type RouteOutcome = Result<CallerSession | undefined, Refusal>;

/** What is served under one path. */
export interface Route {
  readonly methods: readonly string[];
  readonly open: (arrival: Arrival) => RouteOutcome;
}

const SERVICE_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'];
const MODEL_PATH = /^\/v1\/models\/([^/?]+)$/;

const routesByPath: Readonly<Record<string, Route>> = {
  '/v1/chat/completions': {
    methods: ['POST'],
    open: (arrival) => openModelRequest(arrival, 'chat'),
  },
  '/v1/completions': { methods: ['POST'], open: (arrival) => openModelRequest(arrival, 'text') },
  '/v1/models': {
    methods: ['GET'],
    open: (arrival) => {
      listModels(arrival);
      return Ok(undefined);
    },
  },
};

const findServiceRoute = (url: string): Route | undefined => {
  const target = parseServicePath(url);
  if (target === undefined) return undefined;
  return { methods: SERVICE_METHODS, open: (arrival) => openServiceCall(arrival, target) };
};

const findModelRoute = (path: string): Route | undefined => {
  const [, model] = MODEL_PATH.exec(path) ?? [];
  if (model === undefined) return undefined;
  return {
    methods: ['GET'],
    open: (arrival) => {
      const refusal = describeModel(arrival, model);
      return refusal === undefined ? Ok(undefined) : Err(refusal);
    },
  };
};

/** Finds what is served under a path, with a query or without. */
export const findRoute = (url: string): Result<Route, Refusal> => {
  const path = url.split('?', 1)[0] ?? url;
  const exact = Object.hasOwn(routesByPath, path) ? routesByPath[path] : undefined;
  const route = exact ?? findModelRoute(path) ?? findServiceRoute(url);
  return route === undefined ? Err({ code: resultCodes.unknownRoute, ran: 'no' }) : Ok(route);
};
