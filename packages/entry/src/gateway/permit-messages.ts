import { isIPv4 } from 'node:net';
import type {
  LimitObservation,
  NetworkAddress,
  PermitAnswer,
  PermitRequest,
} from '@savorywind/model';
import { MAX_NAME_LENGTH, MAX_PORT, MAX_TIME_MS } from './consts.js';

/** A message about permits in a datagram; `kind` tells it from a snapshot. */
export type PermitMessage =
  | { readonly kind: 'permit.request'; readonly request: PermitRequest }
  | { readonly kind: 'permit.answer'; readonly answer: PermitAnswer };

/** Whether a received value is a text of permitted length. */
export const isShortText = (value: unknown): value is string =>
  typeof value === 'string' && value.length <= MAX_NAME_LENGTH;

/** Whether a received value is a number that is not negative, and small enough that sums stay exact. */
export const isNonNegative = (value: unknown): value is number =>
  typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;

/** Whether a received value is a time for which a timer can wait, in milliseconds. */
const isDelay = (value: unknown): boolean => isNonNegative(value) && value <= MAX_TIME_MS;

/** Whether a received value is the address of a socket. */
export const isAddress = (value: Partial<NetworkAddress> | undefined): boolean =>
  typeof value?.host === 'string' &&
  isIPv4(value.host) &&
  Number.isInteger(value.port) &&
  value.port! >= 1 &&
  value.port! <= MAX_PORT;

/** Whether a received value is an observed limit. */
export const isObservation = (value: Partial<LimitObservation> | undefined): boolean =>
  isShortText(value?.endpoint) &&
  (value.perSecond === undefined || isNonNegative(value.perSecond)) &&
  isNonNegative(value.ageMs) &&
  (value.startedAtMs === undefined || isNonNegative(value.startedAtMs));

const isRequest = (value: Partial<PermitRequest> | undefined): boolean =>
  isShortText(value?.permitId) &&
  isAddress(value.replyTo) &&
  isObservation(value.limit) &&
  isDelay(value.maxDelayMs);

const isAnswer = (value: Partial<PermitAnswer> | undefined): boolean =>
  isShortText(value?.permitId) &&
  (value.outcome === 'granted' || value.outcome === 'denied') &&
  isDelay(value.delayMs);

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
