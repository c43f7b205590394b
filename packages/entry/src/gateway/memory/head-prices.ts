import type { IncomingMessage } from 'node:http';
import {
  FIELD_PRICE_BYTES,
  HEAD_BYTE_PRICE,
  PARSED_HEAD_BYTES,
  REQUEST_PRICE_BYTES,
  UNFINISHED_HEAD_BYTE_PRICE,
  UNPARSED_BYTE_PRICE,
} from './consts.js';

/** Bytes of the version, the separators and the line end of a request line. */
const REQUEST_LINE_BYTES = 12;

/** Bytes of the separators and half the line end of a name or a value. */
const SEPARATOR_BYTES = 2;

/** Counts the bytes of a complete head as it was sent, but for spaces that the parser leaves out. */
export const countHeadBytes = ({ method = '', url = '', rawHeaders }: IncomingMessage): number =>
  rawHeaders.reduce(
    (sum, text) => sum + text.length + SEPARATOR_BYTES,
    REQUEST_LINE_BYTES + method.length + url.length + SEPARATOR_BYTES,
  );

/** Computes the price of a request without its body, in bytes. */
export const computeRequestPrice = (incoming: IncomingMessage): number =>
  REQUEST_PRICE_BYTES +
  HEAD_BYTE_PRICE * countHeadBytes(incoming) +
  (FIELD_PRICE_BYTES * incoming.rawHeaders.length) / 2;

/** Computes the price of trailers of a body that is not complete, of which so many bytes have arrived, in bytes. */
export const computeTrailerPrice = (trailerBytes: number): number =>
  UNFINISHED_HEAD_BYTE_PRICE * trailerBytes;

/**
 * Computes the price of a head of which so many bytes have arrived, in bytes.
 *
 * @example
 * computeUnfinishedHeadPrice(500); // 6_000
 * computeUnfinishedHeadPrice(2_024); // 14_288
 */
export const computeUnfinishedHeadPrice = (headBytes: number): number =>
  UNFINISHED_HEAD_BYTE_PRICE * Math.min(headBytes, PARSED_HEAD_BYTES) +
  UNPARSED_BYTE_PRICE * Math.max(0, headBytes - PARSED_HEAD_BYTES);
