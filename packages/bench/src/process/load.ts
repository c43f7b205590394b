import { request as sendRequest } from 'node:http';
import { FLEET_CREDENTIAL } from './process-fleet.js';

const OUTPUT_TOKENS = 24;
const RETRY_PAUSE_MS = 20;

/**
 * How a request ended for its caller. `cut`: the connection broke off, or the answer has no end.
 * `refused`: an answer that says that the request did not run; it is asked again. `doubled`: a call
 * that may run once ran again.
 */
export type LoadOutcome = 'whole' | 'refused' | 'failed' | 'cut' | 'doubled';

export type LoadCounts = Record<LoadOutcome, number>;

interface Answer {
  readonly status: number;
  readonly text: string;
}

interface Call {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: object;
  readonly isWhole: (answer: Answer) => boolean;
  readonly countRuns: (answer: Answer) => number;
}

/** Sends a call over a connection of its own; undefined where that broke off. */
const exchange = (url: string, call: Call): Promise<Answer | undefined> =>
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
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', () => resolve(undefined));
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          text: Buffer.concat(parts).toString('utf8'),
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
  isWhole: ({ status, text }) =>
    status === 200 &&
    text.trimEnd().endsWith('data: [DONE]') &&
    text.split('"content":').length > OUTPUT_TOKENS,
  countRuns: () => 1,
});

const createBooking = (index: number): Call => ({
  path: '/services/booking/bookings',
  headers: { 'idempotency-key': `booking-${index}` },
  body: { id: `booking-${index}` },
  isWhole: ({ status }) => status === 201,
  countRuns: ({ text }) => (JSON.parse(text) as { run: number }).run,
});

const decideOutcome = (call: Call, answer: Answer | undefined): LoadOutcome => {
  if (answer === undefined) return 'cut';
  if (call.isWhole(answer)) return call.countRuns(answer) > 1 ? 'doubled' : 'whole';
  if (answer.status === 200) return 'cut';
  return answer.text.includes('"ran":"no"') ? 'refused' : 'failed';
};

/** Callers that send one request after another until they are stopped. */
export class Load {
  readonly counts: LoadCounts = { whole: 0, refused: 0, failed: 0, cut: 0, doubled: 0 };

  /** Answers that were not whole, for the report of a test. */
  readonly faults: string[] = [];

  private running = true;

  private next = 1;

  private readonly workers: Promise<void>[];

  constructor(
    private readonly url: string,
    callers: number,
  ) {
    this.workers = Array.from({ length: callers }, () => this.runCaller());
  }

  /** Sends no more, and waits for the answers to what was sent. */
  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.workers);
  }

  private async runCaller(): Promise<void> {
    while (this.running) {
      const index = this.next;
      this.next += 1;
      await this.runCall(index % 2 === 0 ? createChat(index) : createBooking(index));
    }
  }

  /** Asks until the call ran. */
  private async runCall(call: Call): Promise<void> {
    for (;;) {
      const answer = await exchange(this.url, call);
      const outcome = decideOutcome(call, answer);
      this.counts[outcome] += 1;
      if (outcome !== 'whole') this.faults.push(`${call.path}: ${JSON.stringify(answer)}`);
      if (outcome !== 'refused' || !this.running) return;
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_PAUSE_MS);
      });
    }
  }
}
