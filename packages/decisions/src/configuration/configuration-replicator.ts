import {
  applyDifference,
  isHeadRow,
  type ConfigurationHead,
  type ConfigurationMessage,
  type EntryVmId,
} from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../context/node-context.js';
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
 * Replicates configuration versions over the links. It offers the number of a new version to all
 * peers. To a peer that requests the version it sends the difference from the peer's version, or the
 * whole document. An entry VM that misses a message gets the version with its next poll of the store.
 */
export class ConfigurationReplicator {
  /** Version requested from a peer, until it arrives or the request times out. */
  private pendingRequest: { readonly version: number; readonly timer: Timer } | undefined;

  /** Peer whose message is being handled; it already has the version. */
  private sourcePeer: EntryVmId | undefined;

  private readonly handlers: Handlers = {
    'configuration.offer': (peer, { version }) => this.handleOffer(peer, version),
    'configuration.ask': (peer, message) => this.handleRequest(peer, message),
    'configuration.difference': (peer, message) => this.handleDifference(peer, message),
    'configuration.head': (peer, message) => this.handleHead(peer, message),
  };

  private readonly differences = new RecentDifferences();

  constructor(private readonly dependencies: Dependencies) {}

  /** Handles a message of another process; malformed messages are ignored. */
  handleMessage(peer: EntryVmId, message: ConfigurationMessage): void {
    if (!isWellFormed(message)) return;
    const handler = this.handlers[message.kind] as
      ((from: EntryVmId, received: ConfigurationMessage) => void) | undefined;
    handler?.(peer, message);
  }

  /**
   * Offers the version over a new link. Both ends do so, and the one with the lower version requests
   * the higher one.
   */
  handleLinkOpened(peer: EntryVmId): void {
    this.sendOffer(peer);
  }

  /** Offers a newly adopted version to all linked peers except the one that sent it. */
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
    const { localConfiguration } = this.dependencies;
    if (version < localConfiguration.version) this.sendOffer(peer);
    if (version <= localConfiguration.version) return;
    if (this.pendingRequest !== undefined && this.pendingRequest.version >= version) return;
    this.requestVersion(peer, version);
  }

  private requestVersion(peer: EntryVmId, version: number): void {
    const { context, localConfiguration, membership } = this.dependencies;
    this.removePendingRequest();
    const timer = context.schedule(PEER_REQUEST_TIMEOUT_MS, () => this.removePendingRequest());
    this.pendingRequest = { version, timer };
    const { head, version: ownVersion } = localConfiguration;
    const base = head === undefined ? {} : { changeId: head.changeId };
    membership.send(peer, { kind: 'configuration.ask', version: ownVersion, ...base });
  }

  private removePendingRequest(): void {
    this.pendingRequest?.timer.cancel();
    this.pendingRequest = undefined;
  }

  /**
   * Sends the difference from the peer's version if that version is one of the recent ones here, and
   * the whole document otherwise.
   */
  private handleRequest(peer: EntryVmId, request: MessageOf<'configuration.ask'>): void {
    const { localConfiguration, membership } = this.dependencies;
    const { head, ageMs } = localConfiguration;
    if (head === undefined || head.version <= request.version) return;
    const age = ageMs === undefined ? {} : { ageMs };
    const { version, changeId } = request;
    const base = changeId === undefined ? undefined : { version, changeId };
    const difference = base === undefined ? undefined : this.differences.find(base);
    if (base === undefined || difference === undefined) {
      membership.send(peer, { kind: 'configuration.head', head, ...age });
      return;
    }
    const { version: headVersion, changeId: headChangeId, author, committedAtMs } = head;
    const row = { version: headVersion, changeId: headChangeId, author, committedAtMs };
    const message = { kind: 'configuration.difference', head: row, base, difference } as const;
    membership.send(peer, { ...message, ...age });
  }

  /**
   * Applies a difference from the version in force. A difference from another version is ignored; the
   * next poll of the store gets the version.
   */
  private handleDifference(
    peer: EntryVmId,
    { head, base, difference, ageMs }: MessageOf<'configuration.difference'>,
  ): void {
    const { localConfiguration } = this.dependencies;
    const current = localConfiguration.head;
    if (current === undefined || base?.version !== current.version) return;
    if (base.changeId !== current.changeId) return;
    this.sourcePeer = peer;
    localConfiguration.applyDocument(
      head,
      applyDifference(current.configuration, difference),
      ageMs,
    );
    this.sourcePeer = undefined;
  }

  private handleHead(peer: EntryVmId, { head, ageMs }: MessageOf<'configuration.head'>): void {
    this.sourcePeer = peer;
    this.dependencies.localConfiguration.applyDocument(head, head.configuration, ageMs);
    this.sourcePeer = undefined;
  }

  private sendOffer(peer: EntryVmId): void {
    const { localConfiguration, membership } = this.dependencies;
    membership.send(peer, { kind: 'configuration.offer', version: localConfiguration.version });
  }
}
