import type { IncomingMessage } from 'node:http';
import { findFieldsFault, findMethodFault, findTargetFault } from './head-syntax.js';

/**
 * Finds why the head of a request can't be passed on to an endpoint or a peer. Node's parser takes heads that
 * its client refuses to send, by an exception.
 *
 * @example
 * findRequestHeadFault(incoming); // 'request target "/a\\tb" has a character that no request line can hold'
 */
export const findRequestHeadFault = ({
  method = '',
  url = '',
  rawHeaders,
}: Pick<IncomingMessage, 'method' | 'url' | 'rawHeaders'>): string | undefined =>
  findMethodFault(method) ?? findTargetFault(url) ?? findFieldsFault(rawHeaders);
