import type { NodeEvent } from '@savorywind/decisions';
import type { EntryVm, LinkMessage } from '@savorywind/model';

/** First frame in each direction: who speaks, and which protocol. */
export interface LinkHello {
  readonly protocol: number;
  readonly vm: EntryVm;
}

/** Who opened the connection of a link. */
export type DialDirection = 'outgoing' | 'incoming';

export type LinkEvent = Extract<
  NodeEvent,
  { readonly kind: 'link.opened' | 'link.closed' | 'link.received' }
>;

/** Why a link ended; written to the log by whoever is told. */
export type LinkEnd =
  'requested' | 'lost' | 'malformed' | 'overflow' | 'idle' | 'silent' | 'foreign' | 'replaced';

/** What a connection reports to the links that it belongs to. */
export interface ConnectionListener {
  onGreeted(hello: LinkHello): void;
  onMessage(message: LinkMessage): void;
  onClosed(end: LinkEnd): void;
}

/** Frames and bytes of one entry VM's links since it started. */
export interface LinkTraffic {
  sentFrames: number;
  sentBytes: number;
  receivedFrames: number;
  receivedBytes: number;
}
