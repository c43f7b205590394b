import type { NetworkAddress } from '@savorywind/model';

/** Route of requests: through the entry VM, or directly to the engine for comparison. */
export type Route = 'entry' | 'direct';

export const ROUTES: readonly Route[] = ['direct', 'entry'];

/** Engines of the testbed, by the interval of their tokens (see `TOKEN_INTERVAL_MS`). */
export type EngineProfile = 'instant' | 'paced' | 'slow' | 'silent';

/** Addresses and processes that one run of the experiment uses. */
export interface Testbed {
  readonly entry: NetworkAddress;
  readonly engines: Readonly<Record<EngineProfile, NetworkAddress>>;
  readonly entryPid: number;
}

/** Figures of one run, by name. The name includes the unit. */
export type Figures = Readonly<Record<string, number>>;
