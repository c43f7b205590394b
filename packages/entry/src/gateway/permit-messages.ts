import type {
  LimitObservation,
  NetworkAddress,
  PermitAnswer,
  PermitRequest,
} from '@savorywind/model';

/** A message about permits in a datagram; `kind` tells it from a snapshot. */
export type PermitMessage =
  | { readonly kind: 'permit.request'; readonly request: PermitRequest }
  | { readonly kind: 'permit.answer'; readonly answer: PermitAnswer };

/** Longest text in a message, in characters; names of endpoints and ids of permits are shorter. */
const MAX_TEXT_LENGTH = 256;

/** Whether a received value is a text of permitted length. */
export const isShortText = (value: unknown): value is string =>
  typeof value === 'string' && value.length < MAX_TEXT_LENGTH;

/** Whether a received value is a number that is neither negative nor infinite. */
export const isNonNegative = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Whether a received value is the address of a socket. */
export const isAddress = (value: Partial<NetworkAddress> | undefined): boolean =>
  isShortText(value?.host) && isNonNegative(value.port);

/** Whether a received value is an observed limit. */
export const isObservation = (value: Partial<LimitObservation> | undefined): boolean =>
  isShortText(value?.endpoint) &&
  (value.perSecond === undefined || isNonNegative(value.perSecond)) &&
  isNonNegative(value.ageMs);

const isRequest = (value: Partial<PermitRequest> | undefined): boolean =>
  isShortText(value?.permitId) &&
  isAddress(value.replyTo) &&
  isObservation(value.limit) &&
  isNonNegative(value.maxDelayMs);

const isAnswer = (value: Partial<PermitAnswer> | undefined): boolean =>
  isShortText(value?.permitId) &&
  (value.outcome === 'granted' || value.outcome === 'denied') &&
  isNonNegative(value.delayMs);

/**
 * Whether a decoded datagram is a message about permits with valid fields.
 *
 * @example
 * isPermitMessage({ kind: 'permit.answer', answer: { permitId: 'a', outcome: 'granted', delayMs: 0 } });
 */
export const isPermitMessage = (value: unknown): value is PermitMessage => {
  const message = value as {
    readonly kind?: unknown;
    readonly request?: Partial<PermitRequest>;
    readonly answer?: Partial<PermitAnswer>;
  } | null;
  if (message?.kind === 'permit.request') return isRequest(message.request);
  return message?.kind === 'permit.answer' && isAnswer(message.answer);
};
