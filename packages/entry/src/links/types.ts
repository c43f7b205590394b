import type { NodeEvent } from '@savorywind/decisions';
import type { EntryVm, LinkMessage } from '@savorywind/model';

/** First frame in each direction; identifies the sender and its protocol version. */
export interface LinkHello {
  readonly protocol: number;
  readonly vm: EntryVm;
}

/** Whether this entry VM or its peer opened the connection. */
export type LinkDirection = 'outgoing' | 'incoming';

/** Events that links report to the state machine. */
export type LinkEvent = Extract<
  NodeEvent,
  { readonly kind: 'link.opened' | 'link.closed' | 'link.received' }
>;

/**
 * Why a connection was closed: `requested` by this VM, `lost` on a socket error or close, `malformed`
 * frame, `overflow` of the send queue, `idle` timeout, `silent` if no hello frame arrived in time,
 * `foreign` for a wrong protocol version or an unexpected peer, `replaced` by another connection.
 */
export type LinkCloseReason =
  'requested' | 'lost' | 'malformed' | 'overflow' | 'idle' | 'silent' | 'foreign' | 'replaced';

/** Receives the events of a connection. */
export interface ConnectionListener {
  onHelloReceived(hello: LinkHello): void;
  onMessageReceived(message: LinkMessage): void;
  onClosed(reason: LinkCloseReason): void;
}

/** Frames and bytes of one entry VM's links since it started. */
export interface LinkTraffic {
  sentFrames: number;
  sentBytes: number;
  receivedFrames: number;
  receivedBytes: number;
}
