import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';
import { sendModel, sendModelList, openModelSession } from './models/model-routes.js';
import { parseServicePath } from './services/service-path.js';
import { openServiceSession } from './services/service-routes.js';
import type { AcceptedRequest, CallerSession } from './types.js';

/** A session to open, a refusal, or undefined if the response has already been sent. */
export type RouteResult = Result<CallerSession | undefined, Refusal>;

/** Allowed methods and handler of one path. */
export interface Route {
  readonly methods: readonly string[];
  readonly handle: (accepted: AcceptedRequest) => RouteResult;
}

const SERVICE_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'];
const MODEL_PATH = /^\/v1\/models\/([^/?]+)$/;

const ROUTES_BY_PATH: Readonly<Record<string, Route>> = {
  '/v1/chat/completions': {
    methods: ['POST'],
    handle: (accepted) => openModelSession(accepted, 'chat'),
  },
  '/v1/completions': {
    methods: ['POST'],
    handle: (accepted) => openModelSession(accepted, 'text'),
  },
  '/v1/models': {
    methods: ['GET'],
    handle: (accepted) => {
      sendModelList(accepted);
      return Ok(undefined);
    },
  },
};

const findServiceRoute = (url: string): Route | undefined => {
  const target = parseServicePath(url);
  if (target === undefined) return undefined;
  return { methods: SERVICE_METHODS, handle: (accepted) => openServiceSession(accepted, target) };
};

const findModelRoute = (path: string): Route | undefined => {
  const [, model] = MODEL_PATH.exec(path) ?? [];
  if (model === undefined) return undefined;
  return {
    methods: ['GET'],
    handle: (accepted) => {
      const refusal = sendModel(accepted, model);
      return refusal === undefined ? Ok(undefined) : Err(refusal);
    },
  };
};

/** Finds the route of a request URL; exact paths are matched without their query. */
export const findRoute = (url: string): Result<Route, Refusal> => {
  const path = url.split('?', 1)[0] ?? url;
  const exact = Object.hasOwn(ROUTES_BY_PATH, path) ? ROUTES_BY_PATH[path] : undefined;
  const route = exact ?? findModelRoute(path) ?? findServiceRoute(url);
  return route === undefined ? Err({ code: resultCodes.unknownRoute, ran: 'no' }) : Ok(route);
};
