import { sha256 } from '@noble/hashes/sha2.js';

const BYTES_PER_UNIT = 2;
const BITS_PER_BYTE = 8;

/** Encodes UTF-16 units rather than UTF-8, because a chunk may end inside a surrogate pair. */
const encodeUnits = (text: string): Uint8Array => {
  const bytes = new Uint8Array(text.length * BYTES_PER_UNIT);
  for (let index = 0; index < text.length; index += 1) {
    const unit = text.charCodeAt(index);
    bytes[index * BYTES_PER_UNIT] = Math.floor(unit / 2 ** BITS_PER_BYTE);
    bytes[index * BYTES_PER_UNIT + 1] = unit % 2 ** BITS_PER_BYTE;
  }
  return bytes;
};

/** Incremental SHA-256 of a text, so that the text itself need not be kept. */
export class TextDigest {
  /** UTF-16 units added so far. */
  length = 0;

  private readonly hash = sha256.create();

  addText(text: string): void {
    this.length += text.length;
    this.hash.update(encodeUnits(text));
  }

  matches(other: TextDigest): boolean {
    if (this.length !== other.length) return false;
    const digest = this.hash.clone().digest();
    const otherDigest = other.hash.clone().digest();
    return digest.every((byte, index) => byte === otherDigest[index]);
  }
}
