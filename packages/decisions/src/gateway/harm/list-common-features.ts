import { hashText } from '../../membership/rendezvous.js';
import type { GatewayRecord } from '../request-record.js';
import { MAX_NAME_LENGTH, REQUEST_DEPTH } from './consts.js';
import type { CommonFeature } from './types.js';

const shortenName = (name: string): string =>
  name.length <= MAX_NAME_LENGTH ? name : `#${hashText(name).toString(16)}`;

/**
 * Lists what a request has in common with others that may crash endpoints: the shared parts of its prompt,
 * each for the service and the model, in the order of the prompt, and at last all that makes it the same
 * request.
 *
 * @example
 * listCommonFeatures(record); // keys 'part/pool/llm/5c1e07a2', 'request/pool/8f14e45fceea167a'
 */
export const listCommonFeatures = ({
  request,
  service,
}: Pick<GatewayRecord, 'request' | 'service'>): CommonFeature[] => {
  const { sharedParts, model = '', fingerprint } = request;
  const serviceName = shortenName(service.name);
  const parts = sharedParts.map((part, depth) => ({
    key: `part/${serviceName}/${shortenName(model)}/${part}`,
    depth,
  }));
  return [...parts, { key: `request/${serviceName}/${fingerprint}`, depth: REQUEST_DEPTH }];
};
