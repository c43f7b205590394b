import fc from 'fast-check';
import type { EngineFault } from './fake-engine.js';
import type { PlatformMode } from './fake-platform.js';

/**
 * One step of a randomised run. Numbers select entry VMs, endpoints, locations and callers by
 * remainder. The names of the kinds are printed in the report of a soak run.
 */
export type Step =
  | { readonly kind: 'advance'; readonly ms: number }
  | {
      readonly kind: 'chat';
      readonly vm: number;
      readonly promptTokens: number;
      readonly outputTokens: number;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'book';
      readonly vm: number;
      readonly booking: number;
      readonly keyed: boolean;
      readonly timeoutMs: number;
    }
  /** Sends a booking with the idempotency key and the body of the keyed booking of that number. */
  | { readonly kind: 'bookAgain'; readonly vm: number; readonly booking: number }
  /** Sends a different booking with the idempotency key of the booking of that number. */
  | { readonly kind: 'reuseKey'; readonly vm: number; readonly booking: number }
  /** Sends an idempotent call. */
  | { readonly kind: 'lookUp'; readonly vm: number }
  | { readonly kind: 'abandon'; readonly caller: number }
  | { readonly kind: 'killEntryVm' | 'freezeEntryVm' | 'drainEntryVm'; readonly vm: number }
  /** Resumes a suspended process and restarts a dead one. */
  | { readonly kind: 'reviveEntryVm'; readonly vm: number }
  | { readonly kind: 'killEndpoint' | 'freezeEndpoint'; readonly endpoint: number }
  | { readonly kind: 'reviveEndpoint'; readonly endpoint: number }
  | { readonly kind: 'breakProtocol'; readonly endpoint: number; readonly fault: EngineFault }
  /** Creates or removes a network partition between two locations. */
  | { readonly kind: 'cut' | 'heal'; readonly from: number; readonly to: number }
  | { readonly kind: 'setPlatform'; readonly mode: PlatformMode }
  /** Commits a configuration directly in the table service. */
  | { readonly kind: 'commit' }
  /** Sends a configuration change to an entry VM; `again` repeats the previous one. */
  | { readonly kind: 'askForChange'; readonly vm: number; readonly again: boolean };

const MAX_INDEX = 1_000;
const index = fc.nat({ max: MAX_INDEX });
const booking = fc.nat({ max: 5 });

const requests = [
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant('chat' as const),
      vm: index,
      promptTokens: fc.oneof(
        fc.integer({ min: 1, max: 2_000 }),
        fc.integer({ min: 1, max: 30_000 }),
      ),
      outputTokens: fc.integer({ min: 1, max: 12 }),
      timeoutMs: fc.integer({ min: 50, max: 10_000 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('book' as const),
      vm: index,
      booking,
      keyed: fc.boolean(),
      timeoutMs: fc.integer({ min: 20, max: 8_000 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('bookAgain' as const), vm: index, booking }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('reuseKey' as const), vm: index, booking }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('lookUp' as const), vm: index }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('abandon' as const), caller: index }) },
];

const faults = [
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('killEntryVm', 'freezeEntryVm', 'drainEntryVm'),
      vm: index,
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('reviveEntryVm' as const), vm: index }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('killEndpoint', 'freezeEndpoint'),
      endpoint: index,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('reviveEndpoint' as const), endpoint: index }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('cut' as const), from: index, to: index }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('heal' as const), from: index, to: index }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('setPlatform' as const),
      mode: fc.constantFrom('up', 'up', 'down', 'slow', 'forgetful'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('commit' as const) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('askForChange' as const),
      vm: index,
      again: fc.boolean(),
    }),
  },
];

const protocolFaults = [
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('breakProtocol' as const),
      endpoint: index,
      fault: fc.constantFrom('none' as const, 'losesTokens' as const, 'doublesTokens' as const),
    }),
  },
];

const advances = [
  {
    weight: 14,
    arbitrary: fc.record({
      kind: fc.constant('advance' as const),
      ms: fc.oneof(fc.integer({ min: 1, max: 20 }), fc.integer({ min: 1, max: 1_500 })),
    }),
  },
];

/**
 * Creates an arbitrary of lists of requests, faults and advances of the clock. A list has at most
 * `length` steps and at least half as many.
 */
export const createStepsArbitrary = (length: number): fc.Arbitrary<Step[]> =>
  fc.array(fc.oneof(...requests, ...faults, ...protocolFaults, ...advances), {
    minLength: Math.ceil(length / 2),
    maxLength: length,
    size: 'max',
  });
