import type { GatewayEndpoint } from '@savorywind/model';
import type { Timer } from '../timers/timer-queue.js';
import type { PlacedHelper } from './placement-estimates.js';
import type { GatewayContext } from './gateway-context.js';
import type { ReservationOutcome } from './types.js';

export interface ReservationLimits {
  readonly maxReservationMs: number;
  readonly reservationReleaseMs: number;
}

/** A part of a prompt's memory that is set aside on one engine. */
export interface MemoryReservation {
  readonly reservationId: string;
  readonly endpoint: GatewayEndpoint;
  readonly tokens: number;
}

/** Reservations that belong together: all are held or none. */
export interface ReservationSet {
  readonly held: readonly MemoryReservation[];
  release(): void;
}

/** Share of the time after which unused memory must be free again that one reservation lasts. */
const HOLD_SHARE = 0.75;

/** Renewals in the time that one reservation lasts: one of them may get lost. */
const RENEWALS_PER_HOLD = 3;

/**
 * Reserves memory on several engines, one after the other in the order of their ids, so that two
 * entry VMs that want the same engines meet at the first one. A reservation lasts a little less than
 * the time after which unused memory must be free, and is renewed: what a lost entry VM held ends by
 * itself.
 */
export class MemoryReservations {
  private readonly waiting = new Map<string, (outcome: ReservationOutcome) => void>();

  private readonly holdMs: number;

  constructor(
    private readonly context: GatewayContext,
    { maxReservationMs, reservationReleaseMs }: ReservationLimits,
  ) {
    this.holdMs = Math.floor(Math.min(maxReservationMs, HOLD_SHARE * reservationReleaseMs));
  }

  /**
   * Reserves what the helpers are to keep.
   *
   * @param onDone gets the reservations, or undefined where one was refused; nothing is held then
   */
  reserve(
    helpers: readonly PlacedHelper[],
    onDone: (reserved: ReservationSet | undefined) => void,
  ): ReservationSet {
    const wanted = helpers
      .filter(({ reservedTokens }) => reservedTokens > 0)
      .map(({ endpoint, reservedTokens }) => ({
        reservationId: this.context.createName(),
        endpoint,
        tokens: reservedTokens,
      }))
      .sort((a, b) => (a.endpoint.id < b.endpoint.id ? -1 : 1));
    return this.askInTurn(wanted, onDone);
  }

  acceptOutcome(reservationId: string, outcome: ReservationOutcome): void {
    const listener = this.waiting.get(reservationId);
    this.waiting.delete(reservationId);
    listener?.(outcome);
  }

  private askInTurn(
    wanted: readonly MemoryReservation[],
    onDone: (reserved: ReservationSet | undefined) => void,
  ): ReservationSet {
    const asked: MemoryReservation[] = [];
    let timer: Timer | undefined;
    let released = false;
    const set: ReservationSet = {
      held: asked,
      release: () => {
        if (released) return;
        released = true;
        timer?.cancel();
        asked.forEach((reservation) => this.release(reservation));
      },
    };
    const renew = (): void => {
      asked.forEach((reservation) => this.ask(reservation));
      timer = this.context.schedule(this.holdMs / RENEWALS_PER_HOLD, renew);
    };
    const askNext = (): void => {
      const next = wanted[asked.length];
      if (next === undefined) {
        timer = this.context.schedule(this.holdMs / RENEWALS_PER_HOLD, renew);
        onDone(set);
        return;
      }
      asked.push(next);
      this.waiting.set(next.reservationId, (outcome) => {
        if (released) return;
        if (outcome === 'reserved') {
          askNext();
        } else {
          set.release();
          onDone(undefined);
        }
      });
      this.ask(next);
    };
    askNext();
    return set;
  }

  private ask({ reservationId, endpoint, tokens }: MemoryReservation): void {
    const { holdMs } = this;
    this.context.emit({ kind: 'reservation.ask', reservationId, endpoint, tokens, holdMs });
  }

  private release({ reservationId, endpoint }: MemoryReservation): void {
    this.waiting.delete(reservationId);
    this.context.emit({ kind: 'reservation.release', reservationId, endpoint });
  }
}
