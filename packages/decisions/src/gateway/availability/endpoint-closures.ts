import { logEvents, type AttemptId, type EndpointId, type MonotonicMs } from '@savorywind/model';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointProcess } from '../types.js';
import { isLaterProcess } from './is-later-process.js';

/** The time that a process of an endpoint has named, and what it gets after it. */
interface Closure {
  readonly startedAtMs: number | undefined;
  untilMs: MonotonicMs;
  /** Requests that may wait for a response at the same time once the time is over. */
  permitted: number;
  /** Start of the attempts that wait for a response, begun after the time was over. */
  readonly waitingSinceMs: Map<AttemptId, MonotonicMs>;
}

export interface EndpointClosuresOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  /** Called when a time begins, or begins anew. */
  readonly onClosed: (endpoint: EndpointId) => void;
}

/**
 * Longest time for which an endpoint is closed, whatever it names. After it one request asks again, and the
 * endpoint may name its time once more.
 */
const MAX_CLOSURE_MS = 600_000;

/** Part of the time that is added at random, so that entry VMs do not come back at the same moment. */
const SPREAD_FRACTION = 0.1;

/** Most time that is added at random. */
const MAX_SPREAD_MS = 500;

/** Factor by which each response raises the number of requests that may wait for one. */
const GROWTH = 2;

/** From this number on an endpoint counts as open again. */
const MAX_PERMITTED = 8;

/** After this time without a response another request may be sent beside the one that waits. */
const RESPONSE_TIMEOUT_MS = 1_000;

/**
 * The endpoints that turned a request away and named a time to come back. Until it is over they are closed
 * to this entry VM. Then they get one request, and with each response more at the same time.
 *
 * @example
 * closures.report({ id: 'engine-1', startedAtMs: 5 }, 2_000);
 * closures.findOpeningMs({ id: 'engine-1', startedAtMs: 5 }); // in two seconds or a little later
 */
export class EndpointClosures {
  private readonly closures = new Map<EndpointId, Closure>();

  /** Times that endpoints have named, since the start of this process; a time made longer counts once. */
  begun = 0;

  constructor(private readonly options: EndpointClosuresOptions) {}

  /** Records the time that a process has named. A shorter one does not end a longer one. */
  report({ id, startedAtMs }: EndpointProcess, retryAfterMs: number): void {
    const { context, onClosed } = this.options;
    const known = this.closures.get(id);
    if (retryAfterMs <= 0 || (known !== undefined && isLaterProcess(known, { startedAtMs })))
      return;
    this.dropOutdated();
    const durationMs = Math.min(retryAfterMs, MAX_CLOSURE_MS);
    const spreadMs = Math.min(SPREAD_FRACTION * durationMs, MAX_SPREAD_MS) * context.drawRandom();
    const isSameProcess = known !== undefined && !isLaterProcess({ startedAtMs }, known);
    const previousMs = isSameProcess ? known.untilMs : Number.NEGATIVE_INFINITY;
    const untilMs = Math.max(previousMs, context.nowMs + durationMs + spreadMs);
    this.closures.set(id, { startedAtMs, untilMs, permitted: 1, waitingSinceMs: new Map() });
    if (previousMs <= context.nowMs) {
      this.begun += 1;
      context.log(logEvents.endpointClosed, { endpoint: id, forMs: Math.round(durationMs) });
    }
    onClosed(id);
  }

  /**
   * Finds the earliest time at which an endpoint may be sent something, which is now if a response may
   * permit it at any moment; undefined if it may be sent something at once.
   */
  findOpeningMs(process: EndpointProcess): MonotonicMs | undefined {
    const { nowMs } = this.options.context;
    const closure = this.closures.get(process.id);
    if (closure === undefined || isLaterProcess(process, closure)) return undefined;
    if (nowMs < closure.untilMs) return closure.untilMs;
    const waiting = [...closure.waitingSinceMs.values()].filter(
      (sinceMs) => nowMs < sinceMs + RESPONSE_TIMEOUT_MS,
    );
    return waiting.length < closure.permitted ? undefined : nowMs;
  }

  /** Records that an attempt was started that an endpoint takes part in. */
  recordStart(attemptId: AttemptId, endpoint: EndpointId): void {
    this.closures.get(endpoint)?.waitingSinceMs.set(attemptId, this.options.context.nowMs);
  }

  /** Records that a response to an attempt has come. */
  recordResponse(attemptId: AttemptId): void {
    this.closures.forEach((closure, id) => {
      if (!closure.waitingSinceMs.delete(attemptId)) return;
      closure.permitted *= GROWTH;
      if (closure.permitted < MAX_PERMITTED) return;
      this.closures.delete(id);
      this.options.context.log(logEvents.endpointReopened, { endpoint: id });
    });
  }

  /** Records that an attempt has ended, perhaps without a response. */
  recordEnd(attemptId: AttemptId): void {
    this.closures.forEach(({ waitingSinceMs }) => waitingSinceMs.delete(attemptId));
  }

  /** Counts time that the clock missed towards the times that endpoints have named. */
  addLostTime(lostMs: number): void {
    this.closures.forEach((closure) => {
      closure.untilMs -= lostMs;
    });
  }

  /** Forgets an endpoint that is over or has started anew, unless the start of its process is known. */
  remove(endpoint: EndpointId): void {
    if (this.closures.get(endpoint)?.startedAtMs === undefined) this.closures.delete(endpoint);
  }

  private dropOutdated(): void {
    const { context, table } = this.options;
    this.closures.forEach(({ untilMs }, id) => {
      if (untilMs <= context.nowMs && table.findKnown(id) === undefined) this.closures.delete(id);
    });
  }
}
