import type { EndpointId, GatewayEndpoint } from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import type { PlacedHelper } from './placement/placement-estimates.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReservationOutcome } from './types.js';

/** The part of the deployment's limits that bounds the duration of reservations. */
export interface ReservationLimits {
  /** Longest duration of one reservation. */
  readonly maxReservationMs: number;
  /** Time after which memory that no request uses must be free again. */
  readonly reservationReleaseMs: number;
}

/** Memory for a part of a prompt's KV cache that is reserved on one engine. */
export interface MemoryReservation {
  readonly reservationId: string;
  readonly endpoint: GatewayEndpoint;
  readonly tokens: number;
}

/** The reservations of one request; all of them are released if one is refused or unanswered. */
export interface ReservationSet {
  /** Reservations requested so far; all are held once `onDone` has been called with this set. */
  readonly held: readonly MemoryReservation[];
  release(): void;
}

/** Duration of a reservation, as a fraction of the time after which unused memory must be free. */
const HOLD_FRACTION = 0.75;

/** Renewals within the duration of a reservation, so that it survives a lost one. */
const RENEWALS_PER_HOLD = 3;

/**
 * Reserves memory on several engines, one after the other in the order of their ids, so that two
 * entry VMs that want the same engines conflict at the first one and can't deadlock. Reservations
 * expire and are renewed, so that those of a failed entry VM end by themselves in time.
 */
export class MemoryReservations {
  private readonly pending = new Map<string, (outcome: ReservationOutcome) => void>();

  private readonly holdMs: number;

  constructor(
    private readonly context: GatewayContext,
    { maxReservationMs, reservationReleaseMs }: ReservationLimits,
    /** Whether an engine may be asked for memory now. */
    private readonly isOpen: (engine: EndpointId) => boolean,
  ) {
    this.holdMs = Math.floor(Math.min(maxReservationMs, HOLD_FRACTION * reservationReleaseMs));
  }

  /**
   * Reserves the memory that the helpers hold.
   *
   * @param mayRenew called before each renewal; without one the reservations expire
   * @param onDone gets the reservations, or undefined if one was refused or unanswered, or its engine
   *   takes no more, after all were released
   */
  reserve(
    helpers: readonly PlacedHelper[],
    mayRenew: () => boolean,
    onDone: (reserved: ReservationSet | undefined) => void,
  ): ReservationSet {
    const wanted = helpers
      .filter(({ reservedTokens }) => reservedTokens > 0)
      .map(({ endpoint, reservedTokens }) => ({
        reservationId: this.context.createId(),
        endpoint,
        tokens: reservedTokens,
      }))
      .sort((a, b) => (a.endpoint.id < b.endpoint.id ? -1 : 1));
    return this.reserveInTurn(wanted, mayRenew, onDone);
  }

  handleOutcome(reservationId: string, outcome: ReservationOutcome): void {
    const listener = this.pending.get(reservationId);
    this.pending.delete(reservationId);
    listener?.(outcome);
  }

  private reserveInTurn(
    wanted: readonly MemoryReservation[],
    mayRenew: () => boolean,
    onDone: (reserved: ReservationSet | undefined) => void,
  ): ReservationSet {
    const requested: MemoryReservation[] = [];
    let timer: Timer | undefined;
    let isReleased = false;
    const set: ReservationSet = {
      held: requested,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        timer?.cancel();
        requested.forEach((reservation) => this.release(reservation));
      },
    };
    const renew = (): void => {
      if (mayRenew()) requested.forEach((reservation) => this.sendRequest(reservation));
      timer = this.context.schedule(this.holdMs / RENEWALS_PER_HOLD, renew);
    };
    const reserveNext = (): void => {
      const next = wanted[requested.length];
      if (next === undefined) {
        timer = this.context.schedule(this.holdMs / RENEWALS_PER_HOLD, renew);
        onDone(set);
        return;
      }
      if (!this.isOpen(next.endpoint.id)) {
        set.release();
        onDone(undefined);
        return;
      }
      requested.push(next);
      this.pending.set(next.reservationId, (outcome) => {
        if (isReleased) return;
        if (outcome === 'reserved') {
          reserveNext();
        } else {
          set.release();
          onDone(undefined);
        }
      });
      this.sendRequest(next);
    };
    reserveNext();
    return set;
  }

  private sendRequest({ reservationId, endpoint, tokens }: MemoryReservation): void {
    const { holdMs } = this;
    this.context.emit({ kind: 'reservation.ask', reservationId, endpoint, tokens, holdMs });
  }

  private release({ reservationId, endpoint }: MemoryReservation): void {
    this.pending.delete(reservationId);
    this.context.emit({ kind: 'reservation.release', reservationId, endpoint });
  }
}
