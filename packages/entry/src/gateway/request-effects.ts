import type { CloseReason, EndpointProcess, GatewayEvent } from '@savorywind/decisions';
import type { Containment } from '../runtime/containment.js';
import type { CallerExchange } from './callers/caller-exchange.js';
import type { AttemptTarget } from './endpoints/attempt-target.js';
import type { ConnectionPools } from './endpoints/connection-pools.js';
import { createEndpointTarget } from './endpoints/endpoint-target.js';
import { OutgoingAttempt } from './endpoints/outgoing-attempt.js';
import type { GatewayRoom } from './memory/gateway-room.js';
import { createPeerTarget } from './peers/peer-target.js';
import type { AttemptForward, AttemptStart, DispatchGatewayEvent, GatewayWire } from './types.js';

export interface RequestEffectsOptions {
  readonly wire: GatewayWire;
  /** Connections to endpoints. */
  readonly pools: ConnectionPools;
  readonly peerPools: ConnectionPools;
  readonly dispatch: DispatchGatewayEvent;
  readonly containment: Containment;
  /** Room for what is buffered of responses. */
  readonly room: GatewayRoom;
}

/** The open requests of callers and the attempts for them, as the effects of the decisions see them. */
export class RequestEffects {
  private readonly exchanges = new Map<string, CallerExchange>();

  private readonly attempts = new Map<string, OutgoingAttempt>();

  constructor(private readonly options: RequestEffectsOptions) {}

  /** Requests without a final answer. */
  get openCount(): number {
    return this.exchanges.size;
  }

  /** Lists the callers' ids of the requests without a final answer. */
  listOpen(): (string | undefined)[] {
    return [...this.exchanges.values()].map(({ metadata }) => metadata.callerAttempt);
  }

  add(exchange: CallerExchange): void {
    this.exchanges.set(exchange.requestId, exchange);
  }

  /** @param closedFor why this process has closed the connection; undefined if the caller has left */
  abandon(requestId: string, closedFor: CloseReason | undefined): void {
    if (!this.exchanges.delete(requestId)) return;
    this.options.dispatch({ kind: 'request.abandoned', requestId, closedFor });
  }

  startAttempt(start: AttemptStart): void {
    const { wire, pools } = this.options;
    this.openAttempt(start, (exchange) => createEndpointTarget({ start, exchange, pools, wire }));
  }

  forwardAttempt(forward: AttemptForward): void {
    const { wire, peerPools: pools } = this.options;
    this.openAttempt(forward, (exchange) => createPeerTarget({ forward, exchange, pools, wire }));
  }

  cancelAttempt(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    attempt?.cancel();
  }

  withdrawAttempt(attemptId: string): void {
    this.attempts.get(attemptId)?.withdraw();
  }

  relay(requestId: string, attemptId: string, endpoint: EndpointProcess | undefined): void {
    this.exchanges.get(requestId)?.recordEndpoint(endpoint);
    this.attempts.get(attemptId)?.startForwarding();
  }

  /** Gives a request its last answer; the request is open until that has succeeded. */
  answer(requestId: string, perform: (exchange: CallerExchange) => void): void {
    const exchange = this.exchanges.get(requestId);
    if (exchange === undefined) return;
    perform(exchange);
    this.exchanges.delete(requestId);
  }

  /**
   * Ends a request whose answer can't be passed on: with an error if nothing of an answer was sent, and
   * otherwise by closing the connection.
   */
  failRequest(requestId: string): void {
    const exchange = this.exchanges.get(requestId);
    if (exchange === undefined) return;
    try {
      exchange.fail();
    } catch (error) {
      this.options.containment.record({ work: 'caller.fail', owner: 'request' }, error);
    }
    this.abandon(requestId, 'fault');
  }

  private openAttempt(
    start: AttemptStart | AttemptForward,
    createTarget: (exchange: CallerExchange) => AttemptTarget,
  ): void {
    const exchange = this.exchanges.get(start.requestId);
    if (exchange === undefined) return;
    const { containment, room } = this.options;
    const dispatch = (event: GatewayEvent): void => {
      if (event.kind === 'attempt.ended' || event.kind === 'attempt.failed') {
        this.attempts.delete(start.attemptId);
      }
      this.options.dispatch(event);
    };
    const target = createTarget(exchange);
    const attempt = new OutgoingAttempt({ start, target, exchange, dispatch, containment, room });
    this.attempts.set(start.attemptId, attempt);
  }
}
