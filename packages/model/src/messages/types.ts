import type { ConfigurationDifference } from '../configuration/difference.js';
import type { HeadRow, VersionId } from '../configuration/head-row.js';
import type { ConfigurationHead } from '../configuration/schema.js';
import type { RequestMessage } from './request-messages.js';
import type { RoutingMessage } from './routing-messages.js';
import type { MembershipMessage } from './membership-messages.js';

/** Messages about configuration between entry VMs. */
export type ConfigurationMessage =
  | { readonly kind: 'configuration.offer'; readonly version: number }
  | {
      readonly kind: 'configuration.ask';
      readonly version: number;
      /** Change that the asker's version came from; with it a difference may be sent. */
      readonly changeId?: string;
    }
  | {
      readonly kind: 'configuration.difference';
      /** The version, without its document. */
      readonly head: HeadRow;
      readonly base: VersionId;
      readonly difference: ConfigurationDifference;
      readonly ageMs?: number;
    }
  | {
      readonly kind: 'configuration.head';
      readonly head: ConfigurationHead;
      /** Time since the platform last confirmed the version to the sender. */
      readonly ageMs?: number;
    };

/** Everything that travels on a link between two entry VMs. */
export type LinkMessage =
  ConfigurationMessage | MembershipMessage | RequestMessage | RoutingMessage;

/** First part of a message's kind; decides which part of the decisions takes it. */
export type LinkMessageTopic = LinkMessage['kind'] extends `${infer Topic}.${string}`
  ? Topic
  : never;
