import type {
  DispatchGatewayEvent,
  EngineReservations,
  ReservationRelease,
  ReservationRequest,
} from '../types.js';
import type { ConnectionPools } from './connection-pools.js';
import { listNotices } from './list-notices.js';

export interface ReservationCallsOptions {
  readonly reservations: EngineReservations;
  readonly pools: ConnectionPools;
  readonly dispatch: DispatchGatewayEvent;
}

/** Sends reservations of memory to engines, and reports the outcome and the notices in the responses. */
export class ReservationCalls {
  constructor(private readonly options: ReservationCallsOptions) {}

  reserve(request: ReservationRequest): void {
    const { reservations, pools, dispatch } = this.options;
    const { reservationId, endpoint } = request;
    reservations.reserve(request, pools.find(endpoint.id, 'kept')).then(({ outcome, notice }) => {
      listNotices(endpoint, notice).forEach((event) => dispatch(event));
      dispatch({ kind: 'reservation.answered', reservationId, outcome });
    });
  }

  release(request: ReservationRelease): void {
    const { reservations, pools, dispatch } = this.options;
    const { endpoint } = request;
    reservations
      .release(request, pools.find(endpoint.id, 'kept'))
      .then((notice) => listNotices(endpoint, notice).forEach((event) => dispatch(event)));
  }
}
