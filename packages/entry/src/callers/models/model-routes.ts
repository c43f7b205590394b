import {
  Err,
  Ok,
  resultCodes,
  type ModelDeclaration,
  type Refusal,
  type Result,
} from '@savorywind/model';
import { sendJson } from '../answers.js';
import { CallerOutput } from '../caller-output.js';
import { createModelContract } from '../contracts.js';
import { parseJsonBody } from '../json-body.js';
import { OutputFlow } from '../output-flow.js';
import type { Arrival, CallerSession } from '../types.js';
import { parseChatBody } from './chat-body.js';
import { createStreamedExchange } from './streamed-exchange.js';
import { parseTextBody } from './text-body.js';
import type { ModelAsk, ModelFormat } from './types.js';
import { createWholeExchange } from './whole-exchange.js';

const BODY_PARSERS: Readonly<Record<ModelFormat, (value: unknown) => Result<ModelAsk, Refusal>>> = {
  chat: parseChatBody,
  text: parseTextBody,
};

const findModel = (arrival: Arrival, id: string): Result<ModelDeclaration, Refusal> => {
  const model = arrival.configuration.models.find((declared) => declared.id === id);
  return model === undefined ? Err({ code: resultCodes.unknownModel, ran: 'no' }) : Ok(model);
};

const createSession = (
  arrival: Arrival,
  format: ModelFormat,
  ask: ModelAsk,
  contract: CallerSession['request']['contract'],
): CallerSession => {
  const { gateway, response, requestId, body } = arrival;
  const { limits } = gateway.settings;
  const flow = new OutputFlow();
  const options = {
    response,
    output: new CallerOutput(response, flow, limits, () => gateway.recordSlowCaller(requestId)),
    requestId,
    model: ask.model,
    format,
    includeUsage: ask.includeUsage,
    createdAtMs: Date.now(),
    maxWholeAnswerBytes: limits.maxWholeAnswerBytes,
  };
  const abandon = (): void => gateway.abandon(requestId);
  return {
    request: { contract, method: 'POST', path: '', headers: {}, body, flow },
    exchange: ask.stream ? createStreamedExchange(options) : createWholeExchange(options, abandon),
    measure: gateway.createMeasure(contract),
  };
};

/** Opens a chat or text completion. */
export const openModelRequest = (
  arrival: Arrival,
  format: ModelFormat,
): Result<CallerSession, Refusal> => {
  const { gateway, body } = arrival;
  const value = parseJsonBody(body, gateway.settings.limits.maxJsonDepth);
  if (value.err) return value;
  const ask = BODY_PARSERS[format](value.val);
  if (ask.err) return ask;
  const model = findModel(arrival, ask.val.model);
  if (model.err) return model;
  const contract = createModelContract(arrival, model.val, ask.val);
  if (contract.err) return contract;
  return Ok(createSession(arrival, format, ask.val, contract.val));
};

const formatModel = ({ id }: ModelDeclaration): object => ({
  id,
  object: 'model',
  created: 0,
  owned_by: 'savorywind',
});

/** Answers with the models that are declared. */
export const listModels = ({ response, requestId, configuration }: Arrival): void =>
  sendJson(response, requestId, { object: 'list', data: configuration.models.map(formatModel) });

/** Answers with one model. */
export const describeModel = (arrival: Arrival, id: string): Refusal | undefined => {
  const model = findModel(arrival, id);
  if (model.err) return model.val;
  sendJson(arrival.response, arrival.requestId, formatModel(model.val));
  return undefined;
};
