import {
  applyDifference,
  isHeadRow,
  type ConfigurationHead,
  type ConfigurationMessage,
  type EntryVmId,
} from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../seam/node-context.js';
import type { Timer } from '../timers/timer-queue.js';
import type { LocalConfiguration } from './local-configuration.js';
import { PEER_REQUEST_TIMEOUT_MS } from './consts.js';
import { RecentDifferences } from './recent-differences.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly localConfiguration: LocalConfiguration;
}

type MessageOf<Kind extends ConfigurationMessage['kind']> = Extract<
  ConfigurationMessage,
  { readonly kind: Kind }
>;

type Handlers = {
  readonly [Kind in ConfigurationMessage['kind']]: (
    peer: EntryVmId,
    message: MessageOf<Kind>,
  ) => void;
};

const isVersion = (value: unknown): boolean =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

const isWellFormed = (message: ConfigurationMessage): boolean => {
  if (message.kind === 'configuration.offer' || message.kind === 'configuration.ask') {
    return isVersion(message.version);
  }
  const { head, ageMs } = message;
  return isHeadRow(head) && (ageMs === undefined || ageMs >= 0);
};

/**
 * Spreads versions over the links: a short offer to every peer, and to those that ask what
 * differs from the version they have, or the whole document. What is lost is caught by the poll of the store.
 */
export class ConfigurationReplicator {
  /** Version asked of a peer, until it comes or the time for it is over. */
  private pendingRequest: { readonly version: number; readonly timer: Timer } | undefined;

  private sourcePeer: EntryVmId | undefined;

  private readonly handlers: Handlers = {
    'configuration.offer': (peer, { version }) => this.handleOffer(peer, version),
    'configuration.ask': (peer, message) => this.handleRequest(peer, message),
    'configuration.difference': (peer, message) => this.handleDifference(peer, message),
    'configuration.head': (peer, message) => this.handleHead(peer, message),
  };

  private readonly differences = new RecentDifferences();

  constructor(private readonly dependencies: Dependencies) {}

  /** Messages come from another process: one that makes no sense is passed over. */
  handleMessage(peer: EntryVmId, message: ConfigurationMessage): void {
    if (!isWellFormed(message)) return;
    const handler = this.handlers[message.kind] as
      ((from: EntryVmId, given: ConfigurationMessage) => void) | undefined;
    handler?.(peer, message);
  }

  /** A new link: both ends tell their version, and the lower one asks. */
  handleLinkOpened(peer: EntryVmId): void {
    this.sendOffer(peer);
  }

  /** Tells all peers but the one that it came from of a version that is now in force here. */
  offerToPeers(head: ConfigurationHead): void {
    this.differences.add(head);
    if (this.pendingRequest !== undefined && this.pendingRequest.version <= head.version)
      this.removePendingRequest();
    this.dependencies.membership
      .listLinked()
      .filter((peer) => peer !== this.sourcePeer)
      .forEach((peer) => this.sendOffer(peer));
  }

  private handleOffer(peer: EntryVmId, version: number): void {
    const { localConfiguration: keeper } = this.dependencies;
    if (version < keeper.version) this.sendOffer(peer);
    if (version <= keeper.version) return;
    if (this.pendingRequest !== undefined && this.pendingRequest.version >= version) return;
    this.requestVersion(peer, version);
  }

  private requestVersion(peer: EntryVmId, version: number): void {
    const { context, localConfiguration: keeper, membership } = this.dependencies;
    this.removePendingRequest();
    const timer = context.schedule(PEER_REQUEST_TIMEOUT_MS, () => this.removePendingRequest());
    this.pendingRequest = { version, timer };
    const { head, version: own } = keeper;
    const base = head === undefined ? {} : { changeId: head.changeId };
    membership.send(peer, { kind: 'configuration.ask', version: own, ...base });
  }

  private removePendingRequest(): void {
    this.pendingRequest?.timer.cancel();
    this.pendingRequest = undefined;
  }

  /** Sends what differs from the asker's version where that is known here, else the document. */
  private handleRequest(peer: EntryVmId, ask: MessageOf<'configuration.ask'>): void {
    const { localConfiguration: keeper, membership } = this.dependencies;
    const { head, ageMs } = keeper;
    if (head === undefined || head.version <= ask.version) return;
    const age = ageMs === undefined ? {} : { ageMs };
    const { version, changeId } = ask;
    const base = changeId === undefined ? undefined : { version, changeId };
    const difference = base === undefined ? undefined : this.differences.find(base);
    if (base === undefined || difference === undefined) {
      membership.send(peer, { kind: 'configuration.head', head, ...age });
      return;
    }
    const { version: next, changeId: nextChange, author, committedAtMs } = head;
    const row = { version: next, changeId: nextChange, author, committedAtMs };
    const message = { kind: 'configuration.difference', head: row, base, difference } as const;
    membership.send(peer, { ...message, ...age });
  }

  /** A difference to anything but the version in force here is passed over; the poll catches up. */
  private handleDifference(
    peer: EntryVmId,
    { head, base, difference, ageMs }: MessageOf<'configuration.difference'>,
  ): void {
    const { localConfiguration: keeper } = this.dependencies;
    const current = keeper.head;
    if (current === undefined || base?.version !== current.version) return;
    if (base.changeId !== current.changeId) return;
    this.sourcePeer = peer;
    keeper.applyDocument(head, applyDifference(current.configuration, difference), ageMs);
    this.sourcePeer = undefined;
  }

  private handleHead(peer: EntryVmId, { head, ageMs }: MessageOf<'configuration.head'>): void {
    this.sourcePeer = peer;
    this.dependencies.localConfiguration.applyDocument(head, head.configuration, ageMs);
    this.sourcePeer = undefined;
  }

  private sendOffer(peer: EntryVmId): void {
    const { localConfiguration: keeper, membership } = this.dependencies;
    membership.send(peer, { kind: 'configuration.offer', version: keeper.version });
  }
}
