import type { AnswerHead, AnswerUsage, ChunkData, FinishReason } from '@savorywind/decisions';
import type { Refusal, RequestContract } from '@savorywind/model';

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
}

export interface CallerSession {
  readonly request: CallerRequest;
  readonly exchange: CallerExchange;
}
