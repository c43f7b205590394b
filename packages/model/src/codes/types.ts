/** Whether a refused request has run at an endpoint; "no" only if that is certain. */
export type Ran = 'no' | 'yes' | 'unknown';

/** When to retry: never, after the time in Retry-After, or only if the answer has Retry-After. */
export type RetryAdvice = 'never' | 'afterHeader' | 'perAnswer';

/** Properties of a refused request that follow from its result code. */
export interface CodeOutcome {
  /** Possible values of `ran` with this code. */
  readonly ran: readonly Ran[];
  readonly retry: RetryAdvice;
}

/** One row of the catalogue of result codes. */
export interface ResultCode {
  readonly code: number;
  readonly name: string;
  readonly httpStatus: number;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  readonly outcome: CodeOutcome;
}

/** Error outcome of a request: result code, execution status and retry delay. */
export interface Refusal {
  readonly code: ResultCode;
  readonly ran: Ran;
  /** Delay after which a retry makes sense, in milliseconds; absent if a retry does not help. */
  readonly retryAfterMs?: number;
  readonly detail?: string;
}
