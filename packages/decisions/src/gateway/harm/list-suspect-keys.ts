import { hashText } from '../../membership/rendezvous.js';
import type { GatewayRecord } from '../request-record.js';
import { MAX_NAME_LENGTH } from './consts.js';

const shortenName = (name: string): string =>
  name.length <= MAX_NAME_LENGTH ? name : `#${hashText(name).toString(16)}`;

/**
 * Lists what a request has in common with others that may crash engines: the shared parts of its prompt,
 * each for the service and the model, in the order of the prompt.
 *
 * @example
 * listSuspectKeys(record); // ['pool/llm/5c1e07a2', 'pool/llm/91bd3f06']
 */
export const listSuspectKeys = ({
  request,
  service,
}: Pick<GatewayRecord, 'request' | 'service'>): string[] => {
  const { sharedParts, model = '' } = request;
  return sharedParts.map((part) => `${shortenName(service.name)}/${shortenName(model)}/${part}`);
};
