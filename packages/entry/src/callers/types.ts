import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AnswerHead, AnswerUsage, ChunkData, FinishReason } from '@savorywind/decisions';
import type {
  Configuration,
  Refusal,
  RequestContract,
  RequestId,
  TeamDeclaration,
} from '@savorywind/model';
import type { RequestMeasure } from '../observe/request-measure.js';
import type { EntrySettings } from '../settings/schema.js';
import type { OutputFlow } from './output-flow.js';

/** The caller's side of one request: where its answer goes, in the caller's own format. */
export interface CallerExchange {
  sendHead(head: AnswerHead | undefined): void;
  sendChunk(data: ChunkData): void;
  finish(reason: FinishReason, usage: AnswerUsage | undefined): void;
  refuse(refusal: Refusal): void;
}

/** What an endpoint needs of the caller's request beside its contract. */
export interface CallerRequest {
  readonly contract: RequestContract;
  readonly method: string;
  /** Path and query below the service; empty for a model request. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  /** Holds back an endpoint that sends faster than the caller reads. */
  readonly flow: OutputFlow;
}

export interface CallerSession {
  readonly request: CallerRequest;
  readonly exchange: CallerExchange;
  readonly measure: RequestMeasure;
}

/** What the callers' side needs of the program around it. */
export interface CallerGateway {
  readonly settings: EntrySettings;
  readConfiguration(): Configuration | undefined;
  /** Word for the balancer: only "ready" takes new requests. */
  readReadiness(): string;
  createRequestId(): RequestId;
  createMeasure(contract: RequestContract): RequestMeasure;
  open(session: CallerSession): void;
  abandon(requestId: RequestId): void;
  renderMetrics(): string;
  /** Records a refusal that was made before the request was handed to the decisions. */
  recordRefusal(requestId: RequestId, refusal: Refusal): void;
  /** Records that a caller was given up because it read too slowly. */
  recordSlowCaller(requestId: RequestId): void;
}

/** A request whose head has been checked and whose body is whole. */
export interface Arrival {
  readonly gateway: CallerGateway;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: RequestId;
  readonly configuration: Configuration;
  readonly team: TeamDeclaration;
  readonly body: Buffer;
}
