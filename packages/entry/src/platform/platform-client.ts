import { request as sendRequest } from 'node:http';
import csp, { type Channel } from 'js-csp';
import {
  Err,
  Ok,
  type NetworkAddress,
  type PlatformCall,
  type PlatformFailure,
  type PlatformReply,
  type Result,
  type TableOperation,
} from '@savorywind/model';
import type { z } from 'zod';
import { watchConnection } from '../endpoints/watch-connection.js';
import { ProbingAgent } from '../http/probing-agent.js';
import { readReply, createCallTimeoutSignal } from '../replies/read-reply.js';
import { parseReply } from '../replies/parse-reply.js';
import { membershipReplySchema, tablesReplySchema } from './platform-replies.js';

type ReplyListener = (reply: Result<PlatformReply, PlatformFailure>) => void;

interface QueuedCall {
  readonly operations: readonly TableOperation[];
  readonly listener: ReplyListener;
}

/** Calls beyond this number fail as `unsent`. */
const MAX_QUEUED_CALLS = 512;
const MAX_CALLS_PER_BATCH = 64;

/** Longest time without traffic on a call, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;

const HTTP_OK = 200;

/**
 * Sends one HTTP request and parses its JSON reply.
 *
 * @returns Err `unsent` if the request had no effect, Err `unanswered` if it may have had one
 */
const sendJsonRequest = <Schema extends z.ZodType>(
  schema: Schema,
  agent: ProbingAgent,
  address: NetworkAddress,
  method: string,
  path: string,
  body: unknown,
): Promise<Result<z.output<Schema>, PlatformFailure>> =>
  new Promise((resolve) => {
    const timeouts = { timeout: CALL_TIMEOUT_MS, signal: createCallTimeoutSignal() };
    const options = { ...address, agent, method, path, ...timeouts };
    const call = sendRequest(options, (response) => {
      readReply(response, (text) => {
        const isSuccess = text !== undefined && response.statusCode === HTTP_OK;
        const reply = isSuccess ? parseReply(text, schema) : undefined;
        resolve(reply === undefined ? Err('unanswered') : Ok(reply));
      });
    });
    const connectionState = watchConnection(call);
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(Err(connectionState.mayHaveSent() ? 'unanswered' : 'unsent')));
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });

/**
 * Client of the platform's membership and table services. Table operations that are queued at the
 * same time are sent in one request.
 */
export class PlatformClient {
  private readonly agent = new ProbingAgent({ keepAlive: true, maxSockets: 4 });

  private readonly queue: Channel<QueuedCall> = csp.chan(csp.buffers.fixed(MAX_QUEUED_CALLS));

  constructor(private readonly address: NetworkAddress) {
    this.startBatching();
  }

  /** Sends a call; `listener` is called once, with the reply or the failure. */
  call(call: PlatformCall, listener: ReplyListener): void {
    if (call.kind === 'membership') {
      this.readMembership(listener).catch(() => listener(Err('unsent')));
      return;
    }
    const queued = csp.offer(this.queue, { operations: call.operations, listener });
    if (!queued) setImmediate(() => listener(Err('unsent')));
  }

  stop(): void {
    this.queue.close();
    this.agent.destroy();
  }

  private async readMembership(listener: ReplyListener): Promise<void> {
    const reply = await sendJsonRequest(
      membershipReplySchema,
      this.agent,
      this.address,
      'GET',
      '/v1/membership',
      undefined,
    );
    if (reply.err) listener(reply);
    else listener(Ok({ kind: 'membership', ...(reply.val as object) } as PlatformReply));
  }

  private startBatching(): void {
    const { queue } = this;
    const takeBatch = (first: QueuedCall): QueuedCall[] => {
      const batch = [first];
      while (batch.length < MAX_CALLS_PER_BATCH) {
        const next = csp.poll(queue);
        if (next === csp.NO_VALUE || next === csp.CLOSED) break;
        batch.push(next as QueuedCall);
      }
      return batch;
    };
    const send = (batch: QueuedCall[]): Channel<true> => {
      const done: Channel<true> = csp.chan(1);
      this.sendBatch(batch).finally(() => csp.putAsync(done, true));
      return done;
    };
    csp.go(function* batchCalls(): Generator<object, void, never> {
      for (;;) {
        const first: QueuedCall | null = yield csp.take(queue);
        if (first === null) return;
        yield csp.take(send(takeBatch(first)));
      }
    });
  }

  private async sendBatch(batch: readonly QueuedCall[]): Promise<void> {
    const operations = batch.flatMap((call) => call.operations);
    const reply = await sendJsonRequest(
      tablesReplySchema,
      this.agent,
      this.address,
      'POST',
      '/v1/tables',
      {
        operations,
      },
    );
    let next = 0;
    batch.forEach((call) => {
      if (reply.err || reply.val.outcomes.length !== operations.length) {
        call.listener(reply.err ? reply : Err('unanswered'));
        return;
      }
      const { outcomes } = reply.val;
      const callOutcomes = outcomes.slice(next, next + call.operations.length);
      next += call.operations.length;
      call.listener(Ok({ kind: 'tables', outcomes: callOutcomes }));
    });
  }
}
