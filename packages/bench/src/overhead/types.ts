import type { NetworkAddress } from '@savorywind/model';

/** Which way requests take: through the entry VM, or straight to the engine for comparison. */
export type Side = 'entry' | 'direct';

export const SIDES: readonly Side[] = ['direct', 'entry'];

/** Which engine answers: its pace decides what is measured. */
export type EnginePace = 'instant' | 'paced' | 'slow' | 'silent';

/** Everything that one run of the experiment talks to. */
export interface Bench {
  readonly entry: NetworkAddress;
  readonly engines: Readonly<Record<EnginePace, NetworkAddress>>;
  readonly entryPid: number;
}

/** Figures of one run, by name; the unit is part of the name. */
export type Figures = Readonly<Record<string, number>>;
