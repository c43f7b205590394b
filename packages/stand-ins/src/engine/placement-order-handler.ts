import type { FencingSupport } from '@savorywind/model';
import { readBody, sendJson, type Routes } from '../http/route-server.js';

/** Model, version, role and adapters that an engine serves. */
export interface ServedPlacement {
  readonly model: string;
  readonly version: string;
  readonly role: string;
  readonly adapters: readonly string[];
}

export interface PlacementOrderSettings {
  /** Whether orders with a fencing token below the highest one seen are rejected. */
  readonly fencing: FencingSupport;
  /** Placement at start. */
  readonly placement: ServedPlacement;
  /** Time to load an ordered placement, in milliseconds. */
  readonly loadMs: number;
}

/** Order to serve another placement; the body of `POST /v1/orders`. */
export interface PlacementOrder {
  /** Fencing token of the lease under which the order is given. */
  readonly fencing: number;
  readonly placement: ServedPlacement;
}

/** Handles orders to change an engine's placement. A new order replaces one that is loading. */
export class PlacementOrderHandler {
  private placement: ServedPlacement;

  private loading: ServedPlacement | undefined;

  private highestFencing = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly settings: PlacementOrderSettings) {
    this.placement = settings.placement;
  }

  /** @returns false if the fencing token of the order is stale */
  accept({ fencing, placement }: PlacementOrder): boolean {
    if (this.settings.fencing === 'checked' && fencing < this.highestFencing) return false;
    this.highestFencing = Math.max(this.highestFencing, fencing);
    this.loading = placement;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.finishLoading(placement), this.settings.loadMs);
    this.timer.unref();
    return true;
  }

  describe(): object {
    const { placement, loading = null, highestFencing } = this;
    const fencing = this.settings.fencing === 'checked' ? { fencing: highestFencing } : {};
    return { placement, loading, ...fencing };
  }

  private finishLoading(placement: ServedPlacement): void {
    this.placement = placement;
    this.loading = undefined;
  }
}

/** Creates the HTTP routes to read the placement and to order another one. */
export const createPlacementOrderRoutes = (handler: PlacementOrderHandler): Routes => ({
  'GET /v1/orders': (_request, response) => sendJson(response, 200, handler.describe()),
  'POST /v1/orders': async (request, response) => {
    const isAccepted = handler.accept(JSON.parse(await readBody(request)) as PlacementOrder);
    if (isAccepted) sendJson(response, 200, {});
    else sendJson(response, 409, { error: 'fencing' });
  },
});
