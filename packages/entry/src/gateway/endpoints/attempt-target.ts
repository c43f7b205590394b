import type { Agent, IncomingMessage } from 'node:http';
import type { GatewayAttemptFailure, GatewayEvent, PeerRefusal } from '@savorywind/decisions';
import type { NetworkAddress } from '@savorywind/model';
import type { ResponseMetadata } from '../types.js';

/** A response that says that its request was not served. */
export interface ResponseRejection {
  readonly kind: 'rejection';
  readonly failure: GatewayAttemptFailure;
  readonly detail: string;
  /** What else the response says of its endpoint; dispatched before the failure. */
  readonly notices: readonly GatewayEvent[];
  readonly atFault?: NetworkAddress | undefined;
  readonly refusal?: PeerRefusal | undefined;
}

/** What the head of a response to an attempt means. */
export type ResponseReading =
  /** It can't be taken for the response to this attempt. */
  | { readonly kind: 'mismatch'; readonly detail: string }
  | ResponseRejection
  | {
      readonly kind: 'answer';
      readonly metadata: ResponseMetadata;
      readonly notices: readonly GatewayEvent[];
    };

/** Where an attempt is sent, and how responses from there are read. */
export interface AttemptTarget {
  readonly address: NetworkAddress;
  readonly agent: Agent;
  /** Request headers as alternating names and values. */
  readonly headers: readonly string[];
  /** @param isReused whether an earlier request was sent on the same connection */
  readResponse(response: IncomingMessage, isReused: boolean): ResponseReading;
}

/** Why a response can't be taken for the response to a request; undefined if it can. */
export const findMismatch = (
  { headers }: IncomingMessage,
  named: string | undefined,
  expected: string | undefined,
): string | undefined => {
  if (headers['content-encoding'] !== undefined) return 'response has a content encoding';
  if (named !== undefined && named !== expected) return 'response belongs to another request';
  return undefined;
};
