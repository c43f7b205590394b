import { Agent, request as sendRequest } from 'node:http';
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
import { readReply, createCallLimit } from '../replies/read-reply.js';
import { parseReply } from '../replies/parse-reply.js';
import { membershipReplySchema, tablesReplySchema } from './platform-replies.js';

type ReplyListener = (reply: Result<PlatformReply, PlatformFailure>) => void;

interface QueuedCall {
  readonly operations: readonly TableOperation[];
  readonly listener: ReplyListener;
}

const MAX_QUEUED_CALLS = 512;
const MAX_CALLS_PER_BATCH = 64;
const CALL_TIMEOUT_MS = 2_000;

const HTTP_OK = 200;

/** Sends one HTTP request with a JSON answer; tells whether a failed one may have had an effect. */
const exchangeJson = <Schema extends z.ZodType>(
  schema: Schema,
  agent: Agent,
  address: NetworkAddress,
  method: string,
  path: string,
  body: unknown,
): Promise<Result<z.output<Schema>, PlatformFailure>> =>
  new Promise((resolve) => {
    const limits = { timeout: CALL_TIMEOUT_MS, signal: createCallLimit() };
    const options = { ...address, agent, method, path, ...limits };
    const call = sendRequest(options, (response) => {
      readReply(response, (text) => {
        const isAnswer = text !== undefined && response.statusCode === HTTP_OK;
        const reply = isAnswer ? parseReply(text, schema) : undefined;
        resolve(reply === undefined ? Err('unanswered') : Ok(reply));
      });
    });
    const watch = watchConnection(call);
    call.on('timeout', () => call.destroy());
    call.on('error', () => resolve(Err(watch.mayHaveSent() ? 'unanswered' : 'unsent')));
    call.end(body === undefined ? undefined : JSON.stringify(body));
  });

/** Client of the platform. Table operations that wait at the same time go out in one request. */
export class PlatformClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 4 });

  private readonly queue: Channel<QueuedCall> = csp.chan(csp.buffers.fixed(MAX_QUEUED_CALLS));

  constructor(private readonly address: NetworkAddress) {
    this.startBatching();
  }

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
    const reply = await exchangeJson(
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
    const reply = await exchangeJson(
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
      const own = outcomes.slice(next, next + call.operations.length);
      next += call.operations.length;
      call.listener(Ok({ kind: 'tables', outcomes: own }));
    });
  }
}
