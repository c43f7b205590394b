import type { Agent, IncomingHttpHeaders } from 'node:http';
import type {
  EndpointNotice,
  GatewayResponseHead,
  GatewayEffect,
  GatewayEvent,
  GatewayRequest,
  RequestLimitReport,
  ReservationOutcome,
} from '@savorywind/decisions';
import type {
  FailureDomainId,
  GatewayConfiguration,
  GatewayContract,
  GatewayEndpoint,
  GatewayPeer,
  NetworkAddress,
} from '@savorywind/model';
import type { VmLimits } from './memory/types.js';
import type { TableClient, TableRow } from './store/types.js';

/** Settings of one gateway process. */
export interface GatewaySettings {
  readonly self: GatewayPeer;
  /** Address on which callers' requests are served. */
  readonly callers: NetworkAddress;
  /** Address on which the load balancer's readiness checks are answered. */
  readonly readiness: NetworkAddress;
  /** Address on which metrics are served; undefined if they are not. */
  readonly metrics: NetworkAddress | undefined;
  readonly contract: GatewayContract;
  /** Memory and descriptors of the VM; those of the smallest VM are assumed if this is missing. */
  readonly limits?: VmLimits;
}

export type ReservationRequest = Extract<GatewayEffect, { readonly kind: 'reservation.ask' }>;

export type ReservationRelease = Extract<GatewayEffect, { readonly kind: 'reservation.release' }>;

export type AttemptStart = Extract<GatewayEffect, { readonly kind: 'attempt.start' }>;

export type AttemptForward = Extract<GatewayEffect, { readonly kind: 'attempt.forward' }>;

/** Metadata that a caller sends in headers of its request. */
export type RequestMetadata = Pick<
  GatewayRequest,
  | 'callerAttempt'
  | 'credential'
  | 'waitsMs'
  | 'promptTokens'
  | 'maxOutputTokens'
  | 'lastEventId'
  | 'model'
  | 'sharedParts'
>;

/** Metadata that an endpoint sends in the head of its response. */
export interface ResponseMetadata extends Pick<
  GatewayResponseHead,
  'status' | 'hasReceipt' | 'servedBy'
> {
  /**
   * `rejected`: the endpoint did not run the request. `otherEndpoint`: another endpoint has the address
   * now and did not run it.
   */
  readonly outcome: 'answered' | 'rejected' | 'otherEndpoint';
  readonly requestLimit: RequestLimitReport;
  readonly notice: EndpointNotice;
  /** Address of the participating endpoint that failed; undefined if the response names none. */
  readonly atFault: NetworkAddress | undefined;
  /** Id of the caller's attempt that the response belongs to; undefined if it names none. */
  readonly callerAttempt: string | undefined;
}

/** Maps headers and paths between callers, the gateway and endpoints. Makes no routing decisions. */
export interface GatewayWire {
  /** Path of the load balancer's readiness check. */
  readonly readinessPath: string;
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Whether a caller's header is forwarded to the endpoint. `headerName` is in lower case. */
  isForwarded(headerName: string): boolean;
  /** Builds the headers that the gateway adds to one attempt, as alternating names and values. */
  buildAttemptHeaders(attempt: AttemptStart): string[];
  readResponse(status: number, headers: IncomingHttpHeaders): ResponseMetadata;
}

/** Decodes and encodes rows of the store. A row that can't be decoded yields undefined. */
export interface GatewayRows {
  readonly configurationTable: string;
  readonly endpointTable: string;
  readonly peerTable: string;
  /** Key of the row that holds the configuration. */
  readonly configurationKey: string;
  /**
   * @param onRefused called with what is wrong with each part of the configuration that is refused while
   *   the others are kept, or with the whole
   */
  decodeConfiguration(
    row: TableRow,
    onRefused: (detail: string) => void,
  ): GatewayConfiguration | undefined;
  /**
   * Decodes the failure domain that a row of the configuration's table asks to evacuate, for as long as the row
   * is there. Undefined if the row asks for something else.
   */
  decodeEvacuatedDomain(row: Pick<TableRow, 'key'>): FailureDomainId | undefined;
  decodeEndpoint(row: TableRow): GatewayEndpoint | undefined;
  decodePeer(row: TableRow): GatewayPeer | undefined;
  /** Decodes the era of the store in which the entry VM last knew that its configuration was current. */
  decodeProvenEra(row: TableRow): number | undefined;
  encodePeer(peer: GatewayPeer, provenEra: number | undefined): Uint8Array;
}

/** Response of an engine to a reservation. */
export interface ReservationResponse {
  readonly outcome: ReservationOutcome;
  /** Undefined if no response of this engine came. */
  readonly notice: EndpointNotice | undefined;
}

/** Reserves and releases KV cache memory on engines. */
export interface EngineReservations {
  /** Reserves memory, or renews the reservation with the same id. */
  reserve(reservation: ReservationRequest, agent: Agent): Promise<ReservationResponse>;
  /** @returns the notice in the response; undefined if no response of this engine came */
  release(reservation: ReservationRelease, agent: Agent): Promise<EndpointNotice | undefined>;
}

/** Everything that the gateway needs from the platform it runs on. */
export interface GatewayAdapter {
  readonly wire: GatewayWire;
  readonly rows: GatewayRows;
  readonly tables: TableClient;
  readonly reservations: EngineReservations;
}

export type DispatchGatewayEvent = (event: GatewayEvent) => void;
