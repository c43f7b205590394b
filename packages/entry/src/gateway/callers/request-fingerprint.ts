import { createHash } from 'node:crypto';

/** Hexadecimal digits that are kept: requests of a month at the largest planned size stay apart. */
const FINGERPRINT_DIGITS = 16;

/** What tells requests apart besides their body. */
export interface RequestIdentity {
  readonly method: string;
  readonly host: string;
  /** Path and query as received. */
  readonly url: string;
  readonly credential: string | undefined;
}

/**
 * Computes the fingerprint of a request while its body arrives: the same for requests with the same method,
 * host, path, query, credential and body. Neither of them can be found from it.
 *
 * @example
 * const fingerprint = new RequestFingerprint({ method: 'POST', host, url: '/draft/1', credential });
 * fingerprint.add(chunk);
 * fingerprint.finish(); // '8f14e45fceea167a'
 */
export class RequestFingerprint {
  private readonly hash = createHash('sha256');

  constructor({ method, host, url, credential = '' }: RequestIdentity) {
    // Without lengths, parts of one field could pass for those of the next.
    [method, host, url, credential].forEach((text) => this.hash.update(`${text.length}:${text}`));
  }

  /** Adds bytes of the body. */
  add(chunk: Buffer): void {
    this.hash.update(chunk);
  }

  /** Returns the fingerprint. Nothing may be added after it. */
  finish(): string {
    return this.hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
  }
}
