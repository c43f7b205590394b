import type { Agent, IncomingHttpHeaders } from 'node:http';
import type {
  GatewayAnswerHead,
  GatewayEffect,
  GatewayEvent,
  GatewayRequest,
  ReservationOutcome,
} from '@savorywind/decisions';
import type {
  GatewayConfiguration,
  GatewayContract,
  GatewayEndpoint,
  GatewayPeer,
  NetworkAddress,
} from '@savorywind/model';
import type { TableClient, TableRow } from './store/types.js';

/** What one process of the gateway is told at its start. */
export interface GatewaySettings {
  readonly self: GatewayPeer;
  /** Where callers connect. */
  readonly callers: NetworkAddress;
  /** Where the balancer asks whether requests are taken. */
  readonly readiness: NetworkAddress;
  /** Where metrics are shown; undefined where they are not. */
  readonly metrics: NetworkAddress | undefined;
  readonly contract: GatewayContract;
}

export type ReservationAsk = Extract<GatewayEffect, { readonly kind: 'reservation.ask' }>;

export type ReservationRelease = Extract<GatewayEffect, { readonly kind: 'reservation.release' }>;

export type StartAttempt = Extract<GatewayEffect, { readonly kind: 'attempt.start' }>;

/** What the head of a caller's request says beyond HTTP. */
export type RequestFacts = Pick<
  GatewayRequest,
  'callerAttempt' | 'credential' | 'waitsMs' | 'promptTokens' | 'maxOutputTokens' | 'lastEventId'
>;

/** What the head of an endpoint's answer says beyond HTTP. */
export interface AnswerFacts extends GatewayAnswerHead {
  /** `rejected` and `otherEndpoint`: the endpoint did not run the request. */
  readonly outcome: 'answered' | 'rejected' | 'otherEndpoint';
  /** Which of the endpoints that took part failed; undefined where the answer does not say. */
  readonly atFault: NetworkAddress | undefined;
  /** The caller's try that the answer names; undefined where it names none. */
  readonly callerAttempt: string | undefined;
}

/** Names on the wire between callers, the gateway and endpoints. Holds nothing that decides. */
export interface GatewayWire {
  /** Path of the question whether requests are taken. */
  readonly readinessPath: string;
  readRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Whether a caller's header goes on to the endpoint; names are in lower case. */
  isPassedOn(headerName: string): boolean;
  /** Headers that the gateway adds for one attempt, as name and value by turns. */
  buildAttemptHeaders(attempt: StartAttempt): string[];
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
}

/** Reads the store's rows. An entry that can't be read is undefined. */
export interface GatewayRows {
  readonly configurationTable: string;
  readonly endpointTable: string;
  readonly peerTable: string;
  /** Key of the row that holds the configuration. */
  readonly configurationKey: string;
  decodeConfiguration(row: TableRow): GatewayConfiguration | undefined;
  decodeEndpoint(row: TableRow): GatewayEndpoint | undefined;
  decodePeer(row: TableRow): GatewayPeer | undefined;
  encodePeer(peer: GatewayPeer): Uint8Array;
}

/** Orders to engines about their memory. */
export interface EngineOrders {
  /** Reserves memory, or renews a reservation of the same id. */
  reserve(order: ReservationAsk, agent: Agent): Promise<ReservationOutcome>;
  release(order: ReservationRelease, agent: Agent): Promise<void>;
}

/** All that a platform brings to the gateway. */
export interface GatewayAdapter {
  readonly wire: GatewayWire;
  readonly rows: GatewayRows;
  readonly tables: TableClient;
  readonly orders: EngineOrders;
}

export type DispatchGatewayEvent = (event: GatewayEvent) => void;
