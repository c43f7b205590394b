import type { IncomingMessage } from 'node:http';
import {
  findCodingFault,
  findFieldsFault,
  findStatusFault,
  findVersionFault,
} from './head-syntax.js';

type ResponseHead = Pick<IncomingMessage, 'httpVersion' | 'statusCode' | 'rawHeaders' | 'headers'>;

/**
 * Finds why the head of a response can't be believed or passed on. Node's parser takes heads that its server
 * refuses to write, by an exception, other versions, and codings that it doesn't decode. The reason phrase isn't
 * passed on, and may be anything.
 *
 * @example
 * findResponseHeadFault(response); // 'field name "no header" is no token'
 */
export const findResponseHeadFault = ({
  httpVersion,
  statusCode = 0,
  rawHeaders,
  headers,
}: ResponseHead): string | undefined =>
  findVersionFault(httpVersion) ??
  findStatusFault(statusCode) ??
  findFieldsFault(rawHeaders) ??
  findCodingFault(headers['transfer-encoding']);
