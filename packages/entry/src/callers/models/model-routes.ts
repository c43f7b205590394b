import {
  Err,
  Ok,
  resultCodes,
  type ModelDeclaration,
  type Refusal,
  type Result,
} from '@savorywind/model';
import { sendJson } from '../json-responses.js';
import { ResponseStream } from '../response-stream.js';
import { createModelContract } from '../contracts.js';
import { parseJsonBody } from '../json-body.js';
import { FlowControl } from '../flow-control.js';
import type { AcceptedRequest, CallerSession } from '../types.js';
import { parseChatBody } from './chat-body.js';
import { createStreamedResponseWriter } from './streamed-response-writer.js';
import { parseTextBody } from './text-body.js';
import type { CompletionParams, CompletionFormat } from './types.js';
import { createBufferedResponseWriter } from './buffered-response-writer.js';

const BODY_PARSERS: Readonly<
  Record<CompletionFormat, (value: unknown) => Result<CompletionParams, Refusal>>
> = {
  chat: parseChatBody,
  text: parseTextBody,
};

const findModel = (accepted: AcceptedRequest, id: string): Result<ModelDeclaration, Refusal> => {
  const model = accepted.configuration.models.find((declared) => declared.id === id);
  return model === undefined ? Err({ code: resultCodes.unknownModel, ran: 'no' }) : Ok(model);
};

const createSession = (
  accepted: AcceptedRequest,
  format: CompletionFormat,
  params: CompletionParams,
  contract: CallerSession['request']['contract'],
): CallerSession => {
  const { context, response, requestId, body } = accepted;
  const { limits } = context.settings;
  const responseFlow = new FlowControl();
  const options = {
    response,
    responseStream: new ResponseStream(response, responseFlow, limits, () =>
      context.recordStalledCaller(requestId),
    ),
    requestId,
    model: params.model,
    format,
    includeUsage: params.includeUsage,
    createdAtMs: Date.now(),
    maxWholeAnswerBytes: limits.maxWholeAnswerBytes,
  };
  const abandon = (): void => context.abandonRequest(requestId);
  return {
    request: { contract, method: 'POST', path: '', headers: {}, body, flowControl: responseFlow },
    responseWriter: params.stream
      ? createStreamedResponseWriter(options)
      : createBufferedResponseWriter(options, abandon),
    measurement: context.createMeasurement(contract),
  };
};

/** Validates a chat or text completion request and creates its session. */
export const openModelSession = (
  accepted: AcceptedRequest,
  format: CompletionFormat,
): Result<CallerSession, Refusal> => {
  const { context, body } = accepted;
  const value = parseJsonBody(body, context.settings.limits.maxJsonDepth);
  if (value.err) return value;
  const params = BODY_PARSERS[format](value.val);
  if (params.err) return params;
  const model = findModel(accepted, params.val.model);
  if (model.err) return model;
  const contract = createModelContract(accepted, model.val, params.val);
  if (contract.err) return contract;
  return Ok(createSession(accepted, format, params.val, contract.val));
};

const formatModel = ({ id }: ModelDeclaration): object => ({
  id,
  object: 'model',
  created: 0,
  owned_by: 'savorywind',
});

/** Sends the list of declared models. */
export const sendModelList = ({ response, requestId, configuration }: AcceptedRequest): void =>
  sendJson(response, requestId, { object: 'list', data: configuration.models.map(formatModel) });

/** Sends the description of one model; returns a refusal if it is not declared. */
export const sendModel = (accepted: AcceptedRequest, id: string): Refusal | undefined => {
  const model = findModel(accepted, id);
  if (model.err) return model.val;
  sendJson(accepted.response, accepted.requestId, formatModel(model.val));
  return undefined;
};
