import { request as sendRequest } from 'node:http';
import { FLEET_CREDENTIAL } from './process-fleet.js';

const OUTPUT_TOKENS = 24;
const RETRY_DELAY_MS = 20;

/**
 * Outcome of a call for its caller. `refused`: the response says that the call was not executed, so
 * it is retried. `truncated`: the connection broke, or a response with status 200 is incomplete.
 * `duplicated`: a booking was executed more than once. `failed`: any other error response.
 */
export type CallOutcome = 'complete' | 'refused' | 'failed' | 'truncated' | 'duplicated';

export type OutcomeCounts = Record<CallOutcome, number>;

interface CallResponse {
  readonly status: number;
  readonly text: string;
}

interface Call {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: object;
  readonly isComplete: (response: CallResponse) => boolean;
  readonly countRuns: (response: CallResponse) => number;
}

/** Sends a call over a new connection; resolves with undefined if the connection broke. */
const sendCall = (url: string, call: Call): Promise<CallResponse | undefined> =>
  new Promise((resolve) => {
    const options = {
      method: 'POST',
      agent: false,
      headers: {
        authorization: `Bearer ${FLEET_CREDENTIAL}`,
        'content-type': 'application/json',
        ...call.headers,
      },
    };
    const request = sendRequest(`${url}${call.path}`, options, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => resolve(undefined));
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          text: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    request.on('error', () => resolve(undefined));
    request.end(JSON.stringify(call.body));
  });

const createChat = (index: number): Call => ({
  path: '/v1/chat/completions',
  headers: {},
  body: {
    model: 'assistant',
    stream: true,
    max_tokens: OUTPUT_TOKENS,
    messages: [{ role: 'user', content: `Is chair ${index} free on Saturday?` }],
  },
  isComplete: ({ status, text }) =>
    status === 200 &&
    text.trimEnd().endsWith('data: [DONE]') &&
    text.split('"content":').length > OUTPUT_TOKENS,
  countRuns: () => 1,
});

const createBooking = (index: number): Call => ({
  path: '/services/booking/bookings',
  headers: { 'idempotency-key': `booking-${index}` },
  body: { id: `booking-${index}` },
  isComplete: ({ status }) => status === 201,
  countRuns: ({ text }) => (JSON.parse(text) as { run: number }).run,
});

const decideOutcome = (call: Call, response: CallResponse | undefined): CallOutcome => {
  if (response === undefined) return 'truncated';
  if (call.isComplete(response)) return call.countRuns(response) > 1 ? 'duplicated' : 'complete';
  if (response.status === 200) return 'truncated';
  return response.text.includes('"ran":"no"') ? 'refused' : 'failed';
};

/** Runs callers that each send one call after another, chats and bookings, until it is stopped. */
export class LoadGenerator {
  readonly counts: OutcomeCounts = {
    complete: 0,
    refused: 0,
    failed: 0,
    truncated: 0,
    duplicated: 0,
  };

  /** Paths and responses of all calls whose outcome is not `complete`. */
  readonly unsuccessfulResponses: string[] = [];

  private running = true;

  private nextIndex = 1;

  private readonly callerLoops: Promise<void>[];

  constructor(
    private readonly url: string,
    callers: number,
  ) {
    this.callerLoops = Array.from({ length: callers }, () => this.runCaller());
  }

  /** Stops sending calls and waits for the outstanding responses. */
  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.callerLoops);
  }

  private async runCaller(): Promise<void> {
    while (this.running) {
      const index = this.nextIndex;
      this.nextIndex += 1;
      await this.runCall(index % 2 === 0 ? createChat(index) : createBooking(index));
    }
  }

  /** Sends a call, and retries it while it is refused. */
  private async runCall(call: Call): Promise<void> {
    for (;;) {
      const response = await sendCall(this.url, call);
      const outcome = decideOutcome(call, response);
      this.counts[outcome] += 1;
      if (outcome !== 'complete')
        this.unsuccessfulResponses.push(`${call.path}: ${JSON.stringify(response)}`);
      if (outcome !== 'refused' || !this.running) return;
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_DELAY_MS);
      });
    }
  }
}
