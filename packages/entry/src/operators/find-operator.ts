import { createHash, timingSafeEqual } from 'node:crypto';
import type { OperatorCredential } from './types.js';

const BEARER = 'Bearer ';

/** Finds the operator of an Authorization header, comparing all credential hashes in constant time. */
export const findOperator = (
  credentials: readonly OperatorCredential[],
  authorization: string | undefined,
): OperatorCredential | undefined => {
  if (authorization === undefined || !authorization.startsWith(BEARER)) return undefined;
  const digest = createHash('sha256').update(authorization.slice(BEARER.length).trim()).digest();
  const matches = credentials.filter(({ sha256 }) =>
    timingSafeEqual(digest, Buffer.from(sha256, 'hex')),
  );
  return matches[0];
};
