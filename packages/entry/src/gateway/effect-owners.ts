import type { GatewayEffect, GatewayEvent } from '@savorywind/decisions';
import type { WorkOwner } from '../runtime/containment.js';

/** What becomes of an effect whose handler has thrown. */
export type EffectFailure =
  /** The owner hears of it by an event of the decisions. */
  | { readonly kind: 'event'; readonly event: GatewayEvent }
  /** The caller of the request gets an error or a closed connection. */
  | { readonly kind: 'request'; readonly requestId: string }
  /** The decisions don't wait for its outcome, and do the same again if it matters. */
  | { readonly kind: 'none' }
  /** It has no owner: the process can't do its work any more. */
  | { readonly kind: 'process' };

interface EffectOwner<Effect> {
  readonly owner: WorkOwner;
  /** Name of the owner, for the log. */
  readonly readId?: (effect: Effect) => string | undefined;
  readonly fail: (effect: Effect, detail: string) => EffectFailure;
}

type EffectOwners = {
  readonly [Kind in GatewayEffect['kind']]: EffectOwner<
    Extract<GatewayEffect, { readonly kind: Kind }>
  >;
};

const none = (): EffectFailure => ({ kind: 'none' });
const endProcess = (): EffectFailure => ({ kind: 'process' });

const failAttempt = ({ attemptId }: { attemptId: string }, detail: string): EffectFailure => ({
  kind: 'event',
  event: { kind: 'attempt.failed', attemptId, failure: 'unsendable', detail },
});

const failRequest = ({ requestId }: { requestId: string }): EffectFailure => ({
  kind: 'request',
  requestId,
});

const readAttemptId = ({ attemptId }: { attemptId: string }): string => attemptId;
const readRequestId = ({ requestId }: { requestId: string }): string => requestId;

/** The owner of each effect, and how it fails. */
const OWNERS: EffectOwners = {
  'attempt.start': {
    owner: 'attempt',
    readId: ({ endpoint }) => endpoint.id,
    fail: failAttempt,
  },
  'attempt.forward': { owner: 'attempt', readId: ({ peer }) => peer.id, fail: failAttempt },
  'attempt.cancel': { owner: 'attempt', readId: readAttemptId, fail: none },
  'attempt.withdraw': { owner: 'attempt', readId: readAttemptId, fail: none },
  'caller.relay': { owner: 'request', readId: readRequestId, fail: failRequest },
  'caller.finish': { owner: 'request', readId: readRequestId, fail: failRequest },
  'caller.breakOff': { owner: 'request', readId: readRequestId, fail: failRequest },
  'caller.refuse': { owner: 'request', readId: readRequestId, fail: failRequest },
  'reservation.ask': {
    owner: 'endpoint',
    readId: ({ endpoint }) => endpoint.id,
    fail: ({ reservationId }) => ({
      kind: 'event',
      event: { kind: 'reservation.answered', reservationId, outcome: 'unknown' },
    }),
  },
  // The memory is free again when its time is over.
  'reservation.release': { owner: 'endpoint', readId: ({ endpoint }) => endpoint.id, fail: none },
  'path.probe': {
    owner: 'endpoint',
    readId: ({ endpoint }) => endpoint.id,
    fail: ({ endpoint }) => ({
      kind: 'event',
      event: { kind: 'path.probed', endpoint: endpoint.id, outcome: 'unknown' },
    }),
  },
  'endpoint.forgotten': { owner: 'endpoint', readId: ({ endpoint }) => endpoint, fail: none },
  // Each snapshot replaces the one before; who waits for a permit asks again.
  'peers.send': { owner: 'peer', fail: none },
  'permit.request': { owner: 'peer', readId: ({ to }) => to.host, fail: none },
  'permit.answer': { owner: 'peer', readId: ({ to }) => to.host, fail: none },
  // The store is read at an interval in any case.
  'tables.readNow': { owner: 'store', fail: none },
  'registration.renew': { owner: 'store', fail: none },
  'registration.prove': { owner: 'store', fail: none },
  'tables.sourceChanged': {
    owner: 'peer',
    readId: ({ source }) => source.peer?.id,
    // Without a source the tables would not be read any more.
    fail: ({ source }, detail) =>
      source.peer === undefined
        ? endProcess()
        : { kind: 'event', event: { kind: 'tables.sourceFailed', peer: source.peer.id, detail } },
  },
  'callerLimits.changed': { owner: 'configuration', fail: none },
  'request.measured': { owner: 'observation', fail: none },
  log: { owner: 'observation', readId: ({ event }) => event.name, fail: none },
  readiness: { owner: 'process', fail: endProcess },
  'callers.close': { owner: 'process', fail: endProcess },
  drained: { owner: 'process', fail: endProcess },
};

/** An effect that has failed, with its owner. */
export interface FailedEffect {
  readonly owner: WorkOwner;
  readonly ownerId: string | undefined;
  readonly failure: EffectFailure;
}

/**
 * Finds whose work an effect is, and what tells the owner that it has failed.
 *
 * @param detail what was thrown
 */
export const resolveFailedEffect = (effect: GatewayEffect, detail: string): FailedEffect => {
  const { owner, readId, fail } = OWNERS[effect.kind] as EffectOwner<GatewayEffect>;
  return { owner, ownerId: readId?.(effect), failure: fail(effect, detail) };
};
