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
import type { ConfigurationKeeper } from './configuration-keeper.js';
import { ASK_LIMIT_MS } from './consts.js';
import { RecentDifferences } from './recent-differences.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly keeper: ConfigurationKeeper;
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
export class ConfigurationFlood {
  /** Version asked of a peer, until it comes or the time for it is over. */
  private asked: { readonly version: number; readonly timer: Timer } | undefined;

  private source: EntryVmId | undefined;

  private readonly handlers: Handlers = {
    'configuration.offer': (peer, { version }) => this.acceptOffer(peer, version),
    'configuration.ask': (peer, message) => this.acceptAsk(peer, message),
    'configuration.difference': (peer, message) => this.acceptDifference(peer, message),
    'configuration.head': (peer, message) => this.acceptHead(peer, message),
  };

  private readonly differences = new RecentDifferences();

  constructor(private readonly dependencies: Dependencies) {}

  /** Messages come from another process: one that makes no sense is passed over. */
  acceptMessage(peer: EntryVmId, message: ConfigurationMessage): void {
    if (!isWellFormed(message)) return;
    const handler = this.handlers[message.kind] as
      ((from: EntryVmId, given: ConfigurationMessage) => void) | undefined;
    handler?.(peer, message);
  }

  /** A new link: both ends tell their version, and the lower one asks. */
  greet(peer: EntryVmId): void {
    this.sendOffer(peer);
  }

  /** Tells all peers but the one that it came from of a version that is now in force here. */
  spread(head: ConfigurationHead): void {
    this.differences.add(head);
    if (this.asked !== undefined && this.asked.version <= head.version) this.endAsk();
    this.dependencies.membership
      .listLinked()
      .filter((peer) => peer !== this.source)
      .forEach((peer) => this.sendOffer(peer));
  }

  private acceptOffer(peer: EntryVmId, version: number): void {
    const { keeper } = this.dependencies;
    if (version < keeper.version) this.sendOffer(peer);
    if (version <= keeper.version) return;
    if (this.asked !== undefined && this.asked.version >= version) return;
    this.ask(peer, version);
  }

  private ask(peer: EntryVmId, version: number): void {
    const { context, keeper, membership } = this.dependencies;
    this.endAsk();
    const timer = context.schedule(ASK_LIMIT_MS, () => this.endAsk());
    this.asked = { version, timer };
    const { head, version: own } = keeper;
    const base = head === undefined ? {} : { changeId: head.changeId };
    membership.send(peer, { kind: 'configuration.ask', version: own, ...base });
  }

  private endAsk(): void {
    this.asked?.timer.cancel();
    this.asked = undefined;
  }

  /** Sends what differs from the asker's version where that is known here, else the document. */
  private acceptAsk(peer: EntryVmId, ask: MessageOf<'configuration.ask'>): void {
    const { keeper, membership } = this.dependencies;
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
  private acceptDifference(
    peer: EntryVmId,
    { head, base, difference, ageMs }: MessageOf<'configuration.difference'>,
  ): void {
    const { keeper } = this.dependencies;
    const current = keeper.head;
    if (current === undefined || base?.version !== current.version) return;
    if (base.changeId !== current.changeId) return;
    this.source = peer;
    keeper.offerDocument(head, applyDifference(current.configuration, difference), ageMs);
    this.source = undefined;
  }

  private acceptHead(peer: EntryVmId, { head, ageMs }: MessageOf<'configuration.head'>): void {
    this.source = peer;
    this.dependencies.keeper.offerDocument(head, head.configuration, ageMs);
    this.source = undefined;
  }

  private sendOffer(peer: EntryVmId): void {
    const { keeper, membership } = this.dependencies;
    membership.send(peer, { kind: 'configuration.offer', version: keeper.version });
  }
}
