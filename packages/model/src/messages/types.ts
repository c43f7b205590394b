import type { ConfigurationDifference } from '../configuration/configuration-difference.js';
import type { HeadRow, VersionId } from '../configuration/head-row.js';
import type { ConfigurationHead } from '../configuration/schema.js';
import type { RequestMessage } from './request-messages.js';
import type { RoutingMessage } from './routing-messages.js';
import type { MembershipMessage } from './membership-messages.js';

/**
 * Messages that replicate the configuration between entry VMs.
 *
 * - `offer`: the sender has `version`.
 * - `ask`: requests a newer version than `version`.
 * - `difference`: answers `ask` with the difference from the requester's version.
 * - `head`: answers `ask` with the whole document.
 */
export type ConfigurationMessage =
  | { readonly kind: 'configuration.offer'; readonly version: number }
  | {
      readonly kind: 'configuration.ask';
      readonly version: number;
      /** Change id of the requester's version; if present, a difference may be sent. */
      readonly changeId?: string;
    }
  | {
      readonly kind: 'configuration.difference';
      /** Head row of the version, without its document. */
      readonly head: HeadRow;
      readonly base: VersionId;
      readonly difference: ConfigurationDifference;
      /** Time since the platform last confirmed the version to the sender. */
      readonly ageMs?: number;
    }
  | {
      readonly kind: 'configuration.head';
      readonly head: ConfigurationHead;
      /** Time since the platform last confirmed the version to the sender. */
      readonly ageMs?: number;
    };

/** All messages on a link between two entry VMs. */
export type LinkMessage =
  ConfigurationMessage | MembershipMessage | RequestMessage | RoutingMessage;

/** First part of a message's kind; determines which component handles the message. */
export type LinkMessageTopic = LinkMessage['kind'] extends `${infer Topic}.${string}`
  ? Topic
  : never;
