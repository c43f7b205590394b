import {
  logEvents,
  type EndpointId,
  type LeavingObservation,
  type MonotonicMs,
} from '@savorywind/model';
import { MAX_LEAVING_OBSERVATIONS } from '../consts.js';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import type { EndpointProcess } from '../types.js';
import { isLaterProcess } from './is-later-process.js';

/** The process of an endpoint that said that it leaves. */
interface LeavingProcess {
  /** Undefined if the registration does not name its start. */
  readonly startedAtMs: number | undefined;
  readonly observedAtMs: MonotonicMs;
}

export interface LeavingEndpointsOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  /** Called when an endpoint says for the first time that it leaves. */
  readonly onLeaving: (endpoint: EndpointId) => void;
}

/**
 * Least time for which the word of an endpoint is kept that is neither registered nor remembered as gone: it may
 * be sent by a process whose registration this entry VM has not read yet.
 */
const UNKNOWN_MEMORY_MS = 60_000;

/**
 * The endpoints that have said in a response that they leave. It holds for the process that said it: neither
 * its registration nor a later response takes it back, and a process that started later is not concerned.
 *
 * @example
 * leaving.report({ id: 'engine-1', startedAtMs: 5 });
 * leaving.isLeaving({ id: 'engine-1', startedAtMs: 6 }); // false: another process
 */
export class LeavingEndpoints {
  private readonly known = new Map<EndpointId, LeavingProcess>();

  /** Processes that have said that they leave, since the start of this one. */
  reported = 0;

  constructor(private readonly options: LeavingEndpointsOptions) {}

  /** Records that a process of an endpoint has said in a response that it leaves. */
  report(process: EndpointProcess): void {
    if (this.isLeaving(process)) return;
    const { context, onLeaving } = this.options;
    this.dropOutdated();
    const { id, startedAtMs } = process;
    this.known.set(id, { startedAtMs, observedAtMs: context.nowMs });
    this.reported += 1;
    context.log(logEvents.endpointLeavingNoted, { endpoint: id, startedAtMs });
    onLeaving(id);
  }

  /** Whether a process, or a later one under the same id, has said that it leaves. */
  isLeaving(process: EndpointProcess): boolean {
    const known = this.known.get(process.id);
    return known !== undefined && !isLaterProcess(process, known);
  }

  /** Lists the processes that have told this entry VM that they leave, for the peers, the newest ones. */
  listObservations(): LeavingObservation[] | undefined {
    const { context, table } = this.options;
    const observations = [...this.known].flatMap(([endpoint, { startedAtMs, observedAtMs }]) => {
      const isRegistered = table.find(endpoint)?.startedAtMs === startedAtMs;
      if (startedAtMs === undefined || !isRegistered) return [];
      return [{ endpoint, startedAtMs, ageMs: Math.round(context.nowMs - observedAtMs) }];
    });
    if (observations.length === 0) return undefined;
    return observations.sort((a, b) => a.ageMs - b.ageMs).slice(0, MAX_LEAVING_OBSERVATIONS);
  }

  /** Forgets an endpoint that is over or has started anew, unless the start of its process is known. */
  remove(endpoint: EndpointId): void {
    if (this.known.get(endpoint)?.startedAtMs === undefined) this.known.delete(endpoint);
  }

  private dropOutdated(): void {
    const { context, table } = this.options;
    this.known.forEach(({ observedAtMs }, id) => {
      const isOld = context.nowMs - observedAtMs > UNKNOWN_MEMORY_MS;
      if (isOld && table.findKnown(id) === undefined) this.known.delete(id);
    });
  }
}
