import type { RequestContract, Refusal } from '@savorywind/model';
import { formatToken } from './fake-engine.js';
import { formatServiceAnswer } from './fake-service.js';

/** How a request ended, as its caller saw it. */
export type CallerOutcome =
  | { readonly kind: 'finished'; readonly text: string; readonly status: number | undefined }
  | { readonly kind: 'refused'; readonly refusal: Refusal; readonly text: string }
  /** The caller went away by itself. */
  | { readonly kind: 'abandoned' }
  /** The entry VM died, and the connection with it. */
  | { readonly kind: 'disconnected' };

/** One request of one caller, and what came back. */
export class FakeCaller {
  outcome: CallerOutcome | undefined;

  finalAnswers = 0;

  /** Whether the entry VM has read the request. */
  wasRead = false;

  status: number | undefined;

  private readonly parts: string[] = [];

  constructor(
    readonly contract: RequestContract,
    readonly vmId: string,
    readonly incarnation: number,
    readonly askedAtMs: number,
  ) {}

  get deadlineMs(): number {
    return this.askedAtMs + this.contract.timeoutMs;
  }

  get text(): string {
    return this.parts.join('');
  }

  acceptChunk(data: string | Uint8Array): void {
    this.parts.push(typeof data === 'string' ? data : new TextDecoder().decode(data));
  }

  end(outcome: CallerOutcome): void {
    this.outcome ??= outcome;
  }

  /** The whole answer that belongs to this request and to no other. */
  formatExpected(): string {
    const { contract } = this;
    if (contract.kind === 'service') return formatServiceAnswer(contract.digest);
    const indexes = Array.from({ length: contract.maxOutputTokens }, (_item, index) => index);
    return indexes.map((index) => formatToken(contract.digest, index)).join('');
  }
}
