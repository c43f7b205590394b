import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AnswerHead, AnswerUsage, ChunkData, FinishReason } from '@savorywind/decisions';
import type {
  Configuration,
  Refusal,
  RequestContract,
  RequestId,
  TeamDeclaration,
} from '@savorywind/model';
import type { RequestMeasurement } from '../observe/request-measurement.js';
import type { EntrySettings } from '../settings/schema.js';
import type { FlowControl } from './flow-control.js';

/** Sends the response to one request in the format that its caller expects. */
export interface ResponseWriter {
  sendHead(head: AnswerHead | undefined): void;
  sendChunk(data: ChunkData): void;
  finish(reason: FinishReason, usage: AnswerUsage | undefined): void;
  refuse(refusal: Refusal): void;
}

/** The request to forward to an endpoint, with its contract. */
export interface CallerRequest {
  readonly contract: RequestContract;
  readonly method: string;
  /** Path and query that the service receives; empty for a model request. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  /** Pauses an endpoint that sends faster than the caller reads. */
  readonly flowControl: FlowControl;
}

/** A request that waits for its response. */
export interface CallerSession {
  readonly request: CallerRequest;
  readonly responseWriter: ResponseWriter;
  readonly measurement: RequestMeasurement;
}

/** What the server for callers needs from the surrounding process. */
export interface CallerServerContext {
  readonly settings: EntrySettings;
  readConfiguration(): Configuration | undefined;
  /** Readiness state for the load balancer; only "ready" accepts new requests. */
  readReadiness(): string;
  createRequestId(): RequestId;
  createMeasurement(contract: RequestContract): RequestMeasurement;
  openSession(session: CallerSession): void;
  abandonRequest(requestId: RequestId): void;
  renderMetrics(): string;
  /** Records a refusal of a request for which no session was opened. */
  recordRefusal(requestId: RequestId, refusal: Refusal): void;
  /** Records that a response was aborted because its caller read too slowly. */
  recordStalledCaller(requestId: RequestId): void;
}

/** An authenticated request with a valid head and a complete body. */
export interface AcceptedRequest {
  readonly context: CallerServerContext;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: RequestId;
  readonly configuration: Configuration;
  readonly team: TeamDeclaration;
  readonly body: Buffer;
}
