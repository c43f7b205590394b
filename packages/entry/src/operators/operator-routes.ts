import * as z from 'zod';
import {
  Err,
  Ok,
  parseConfiguration,
  resultCodes,
  type Result,
  type ResultCode,
} from '@savorywind/model';
import type { ChangeOutcome } from '@savorywind/decisions';
import type { OperatorCredential, OperatorDependencies } from './types.js';

/** Response to a successful operator call. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Why an operator call failed. */
export interface OperatorRefusal {
  readonly code: ResultCode;
  /** Whether the change was committed; `unknown` if this could not be determined. */
  readonly committed: 'no' | 'unknown';
  /** Configuration version in force, if it was read. */
  readonly version?: number;
  readonly faults?: readonly { readonly path: string; readonly message: string }[];
}

/** An authenticated call of an operator. */
export interface OperatorCall {
  readonly operator: OperatorCredential;
  readonly query: URLSearchParams;
  /** Parsed JSON; undefined if the call has no body. */
  readonly body: unknown;
}

export type OperatorReply = Result<OperatorResponse, OperatorRefusal>;

type Handler = (
  dependencies: OperatorDependencies,
  call: OperatorCall,
) => OperatorReply | Promise<OperatorReply>;

const changeSchema = z.strictObject({
  changeId: z.string().regex(/^[A-Za-z0-9._-]{1,64}$/),
  baseVersion: z.number().int().min(0),
  configuration: z.unknown(),
});

/** Versions listed if a history call sets no limit. */
const DEFAULT_HISTORY_LENGTH = 20;

const createReply = (body: unknown): OperatorReply => Ok({ status: 200, body });

const refuse = (code: ResultCode, details: Partial<OperatorRefusal> = {}): OperatorReply =>
  Err({ code, committed: 'no', ...details });

const formatChangeOutcome = (outcome: ChangeOutcome): OperatorReply => {
  if (outcome.kind === 'committed') return createReply({ version: outcome.version });
  const { code, committed, version } = outcome;
  return refuse(code, { committed, ...(version === undefined ? {} : { version }) });
};

const commitChange: Handler = async ({ commitChange: commitConfiguration }, { operator, body }) => {
  const parsed = changeSchema.safeParse(body);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(({ path, message }) => ({
      path: path.join('.'),
      message,
    }));
    return refuse(resultCodes.invalidOperatorCall, { faults });
  }
  const { changeId, baseVersion } = parsed.data;
  const configuration = parseConfiguration(parsed.data.configuration);
  if (configuration.err) {
    return refuse(resultCodes.invalidConfiguration, { faults: configuration.val });
  }
  const outcome = await commitConfiguration({
    changeId,
    baseVersion,
    configuration: configuration.val,
    author: operator.name,
    submittedAtMs: Date.now(),
  });
  return formatChangeOutcome(outcome);
};

const readHistory: Handler = async (dependencies, { query }) => {
  const limit = Number(query.get('limit') ?? DEFAULT_HISTORY_LENGTH);
  if (!Number.isInteger(limit) || limit < 1) return refuse(resultCodes.invalidOperatorCall);
  const outcome = await dependencies.readHistory(limit);
  if (outcome.kind === 'unavailable') return refuse(resultCodes.historyUnavailable);
  return createReply({ versions: outcome.versions });
};

const readVersion: Handler = async (dependencies, { query }) => {
  const version = Number(query.get('version'));
  if (!Number.isInteger(version) || version < 1) return refuse(resultCodes.invalidOperatorCall);
  const outcome = await dependencies.readVersion(version);
  if (outcome.kind === 'read') return createReply({ configuration: outcome.configuration });
  if (outcome.kind === 'unknown') return refuse(resultCodes.unknownVersion);
  return refuse(resultCodes.historyUnavailable);
};

/** Handlers of the operator API, by method and path. */
export const operatorRoutes: Readonly<Record<string, Handler>> = {
  'GET /v1/status': ({ readStatus }) => createReply(readStatus()),
  'GET /v1/requests': ({ readStatus }) => createReply({ requests: readStatus().requests }),
  'GET /v1/configuration': ({ readHead }) => createReply({ head: readHead() ?? null }),
  'GET /v1/history': readHistory,
  'GET /v1/versions': readVersion,
  'POST /v1/changes': commitChange,
  'POST /v1/drain': ({ drain }) => {
    drain();
    return createReply({ readiness: 'leaving' });
  },
};
