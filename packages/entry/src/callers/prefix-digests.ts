import { createHash } from 'node:crypto';
import { BYTES_PER_TOKEN } from './prompt-size.js';

/** Estimated tokens in one block of a prompt. */
export const BLOCK_TOKENS = 1_024;

/** Blocks of a prompt that are digested; later ones rarely decide where a prefix is cached. */
export const MAX_BLOCKS = 64;

const BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN;
const DIGEST_DIGITS = 16;

/**
 * Digests the leading blocks of a prompt, each together with all before it, so that two prompts have
 * as many digests in common as they have leading blocks. Only whole blocks count.
 *
 * @param parts texts of the prompt in order, with what tells one part from the next
 * @returns shortest prefix first, in hex
 */
export const hashPrefixes = (model: string, parts: readonly string[]): string[] => {
  const hash = createHash('sha256').update(`${model}\0`);
  const digests: string[] = [];
  let room = BLOCK_BYTES;
  for (let index = 0; index < parts.length; index += 1) {
    let bytes = Buffer.from((parts[index] ?? '').slice(0, BLOCK_BYTES * MAX_BLOCKS));
    while (bytes.length >= room) {
      hash.update(bytes.subarray(0, room));
      digests.push(hash.copy().digest('hex').slice(0, DIGEST_DIGITS));
      if (digests.length === MAX_BLOCKS) return digests;
      bytes = bytes.subarray(room);
      room = BLOCK_BYTES;
    }
    hash.update(bytes);
    room -= bytes.length;
  }
  return digests;
};
