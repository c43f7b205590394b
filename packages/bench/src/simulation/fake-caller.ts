import type { RequestContract, Refusal } from '@savorywind/model';
import { formatToken } from './fake-engine.js';
import { formatServiceResponse } from './fake-service.js';

/** Outcome of a request from the view of its caller. */
export type CallerOutcome =
  | { readonly kind: 'finished'; readonly text: string; readonly status: number | undefined }
  | { readonly kind: 'refused'; readonly refusal: Refusal; readonly text: string }
  /** The caller closed the connection. */
  | { readonly kind: 'abandoned' }
  /** The entry VM ended, which closed the connection. */
  | { readonly kind: 'disconnected' };

/** One request of one caller and the response to it. */
export class FakeCaller {
  outcome: CallerOutcome | undefined;

  /** Number of final responses; more than one violates a guarantee. */
  finalResponseCount = 0;

  /** Whether the entry VM has received the request; a suspended process receives it on resuming. */
  isReceived = false;

  status: number | undefined;

  private readonly chunks: string[] = [];

  constructor(
    readonly contract: RequestContract,
    readonly vmId: string,
    readonly incarnation: number,
    readonly requestedAtMs: number,
  ) {}

  get deadlineMs(): number {
    return this.requestedAtMs + this.contract.timeoutMs;
  }

  get text(): string {
    return this.chunks.join('');
  }

  addChunk(data: string | Uint8Array): void {
    this.chunks.push(typeof data === 'string' ? data : new TextDecoder().decode(data));
  }

  end(outcome: CallerOutcome): void {
    this.outcome ??= outcome;
  }

  /** Returns the complete response body; it is unique to the digest of the request. */
  formatExpectedBody(): string {
    const { contract } = this;
    if (contract.kind === 'service') return formatServiceResponse(contract.digest);
    const offsets = Array.from({ length: contract.maxOutputTokens }, (_item, offset) => offset);
    return offsets.map((offset) => formatToken(contract.digest, offset)).join('');
  }
}
