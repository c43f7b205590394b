import { logEvents, type EndpointId, type MonotonicMs } from '@savorywind/model';
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
 * Time for which the word of an endpoint is kept that is no longer registered. A registration that comes
 * back from an older copy of the store comes back within seconds.
 */
const UNREGISTERED_MEMORY_MS = 60_000;

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

  constructor(private readonly options: LeavingEndpointsOptions) {}

  /** Records that a process of an endpoint has said in a response that it leaves. */
  report(process: EndpointProcess): void {
    if (this.isLeaving(process)) return;
    const { context, onLeaving } = this.options;
    this.dropOutdated();
    const { id, startedAtMs } = process;
    this.known.set(id, { startedAtMs, observedAtMs: context.nowMs });
    context.log(logEvents.endpointLeavingNoted, { endpoint: id, startedAtMs });
    onLeaving(id);
  }

  /** Whether a process, or a later one under the same id, has said that it leaves. */
  isLeaving(process: EndpointProcess): boolean {
    const known = this.known.get(process.id);
    return known !== undefined && !isLaterProcess(process, known);
  }

  /** Forgets an endpoint that was removed or restarted, unless the start of its process is known. */
  remove(endpoint: EndpointId): void {
    if (this.known.get(endpoint)?.startedAtMs === undefined) this.known.delete(endpoint);
  }

  private dropOutdated(): void {
    const { context, table } = this.options;
    this.known.forEach(({ observedAtMs }, id) => {
      const isOld = context.nowMs - observedAtMs > UNREGISTERED_MEMORY_MS;
      if (isOld && table.find(id) === undefined) this.known.delete(id);
    });
  }
}
