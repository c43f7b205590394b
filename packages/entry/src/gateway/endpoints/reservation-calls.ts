import type {
  DispatchGatewayEvent,
  EngineReservations,
  ReservationRelease,
  ReservationRequest,
} from '../types.js';
import type { Containment } from '../../runtime/containment.js';
import type { ConnectionPools } from './connection-pools.js';
import { listNotices } from './list-notices.js';

export interface ReservationCallsOptions {
  readonly reservations: EngineReservations;
  readonly pools: ConnectionPools;
  readonly dispatch: DispatchGatewayEvent;
  readonly containment: Containment;
}

/** Sends reservations of memory to engines, and reports the outcome and the notices in the responses. */
export class ReservationCalls {
  constructor(private readonly options: ReservationCallsOptions) {}

  reserve(request: ReservationRequest): void {
    const { reservations, pools, dispatch, containment } = this.options;
    const { reservationId, endpoint } = request;
    containment.settle(
      { work: 'reservation.reserve', owner: 'endpoint', ownerId: endpoint.id },
      () => reservations.reserve(request, pools.find(endpoint.id, 'kept')),
      ({ outcome, notice }) => {
        listNotices(endpoint, notice).forEach((event) => dispatch(event));
        dispatch({ kind: 'reservation.answered', reservationId, outcome });
      },
      () => dispatch({ kind: 'reservation.answered', reservationId, outcome: 'unknown' }),
    );
  }

  release(request: ReservationRelease): void {
    const { reservations, pools, dispatch, containment } = this.options;
    const { endpoint } = request;
    containment.settle(
      { work: 'reservation.release', owner: 'endpoint', ownerId: endpoint.id },
      () => reservations.release(request, pools.find(endpoint.id, 'kept')),
      (notice) => listNotices(endpoint, notice).forEach((event) => dispatch(event)),
    );
  }
}
