import type { FencingSupport } from '@savorywind/model';
import { readBody, sendJson, type Routes } from '../http/route-server.js';

/** What an engine serves, as it reports it. */
export interface ServedPlacement {
  readonly model: string;
  readonly version: string;
  readonly role: string;
  readonly adapters: readonly string[];
}

export interface EngineOrdersSettings {
  readonly fencing: FencingSupport;
  readonly placement: ServedPlacement;
  /** Time to load what was ordered, in milliseconds. */
  readonly loadMs: number;
}

export interface EngineOrder {
  readonly fencing: number;
  readonly placement: ServedPlacement;
}

/** Takes orders to serve something else; one at a time, the newest wins. */
export class EngineOrders {
  private placement: ServedPlacement;

  private loading: ServedPlacement | undefined;

  private highestFencing = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly settings: EngineOrdersSettings) {
    this.placement = settings.placement;
  }

  /** @returns whether the order was taken */
  accept({ fencing, placement }: EngineOrder): boolean {
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

/** Routes of an engine that takes orders. */
export const createOrderRoutes = (orders: EngineOrders): Routes => ({
  'GET /v1/orders': (_request, response) => sendJson(response, 200, orders.describe()),
  'POST /v1/orders': async (request, response) => {
    const taken = orders.accept(JSON.parse(await readBody(request)) as EngineOrder);
    if (taken) sendJson(response, 200, {});
    else sendJson(response, 409, { error: 'fencing' });
  },
});
