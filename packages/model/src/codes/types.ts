/** Whether the request that is refused has run at an endpoint. "no" is said only when it is certain. */
export type Ran = 'no' | 'yes' | 'unknown';

/** Whether asking again helps: never, after the time in Retry-After, or as the answer says. */
export type RetryAdvice = 'never' | 'afterHeader' | 'perAnswer';

/** What is known of a refused request from its result code alone. */
export interface CodeOutcome {
  /** Values of `ran` that come with the code. */
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

/** Why a request gets no answer, or no more of its answer. */
export interface Refusal {
  readonly code: ResultCode;
  readonly ran: Ran;
  /** When it is worth asking again; absent where asking again does not help. */
  readonly retryAfterMs?: number;
  readonly detail?: string;
}
