import { sha256 } from '@noble/hashes/sha2.js';
import { bytesToHex, utf8ToBytes } from '@noble/hashes/utils.js';
import type { AnswerHead, ChunkData } from '../context/types.js';
import { MAX_STORED_BODY_BYTES, MAX_STORED_HEAD_BYTES } from './consts.js';
import type { StoredAnswer } from './types.js';

const encodeBase64 = (parts: readonly Uint8Array[]): string => {
  const text = parts.map((part) => Array.from(part, (byte) => String.fromCharCode(byte)).join(''));
  return btoa(text.join(''));
};

/** Decodes the body of a stored answer. */
export const decodeBody = (bodyBase64: string): Uint8Array =>
  Uint8Array.from(atob(bodyBase64), (character) => character.charCodeAt(0));

/**
 * Records the answer of a claimed call while it is sent to the caller. An answer over the size
 * limit is reduced to a summary.
 */
export class AnswerRecorder {
  private readonly digest = sha256.create();

  private parts: Uint8Array[] = [];

  private bodyBytes = 0;

  constructor(private readonly head: AnswerHead) {}

  addChunk(data: ChunkData): void {
    const bytes = typeof data === 'string' ? utf8ToBytes(data) : data;
    this.digest.update(bytes);
    this.bodyBytes += bytes.length;
    if (this.bodyBytes <= MAX_STORED_BODY_BYTES) this.parts.push(bytes);
    else this.parts = [];
  }

  finish(): StoredAnswer {
    const { head, bodyBytes } = this;
    const fits =
      bodyBytes <= MAX_STORED_BODY_BYTES && JSON.stringify(head).length <= MAX_STORED_HEAD_BYTES;
    if (fits) return { kind: 'whole', head, bodyBase64: encodeBase64(this.parts) };
    const bodySha256 = bytesToHex(this.digest.digest());
    return { kind: 'summary', status: head.status, bodyBytes, bodySha256 };
  }
}
