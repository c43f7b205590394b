import { createHash } from 'node:crypto';
import { PREFIX_BLOCK_TOKENS } from '@savorywind/model';
import { BYTES_PER_TOKEN } from './estimate-prompt-tokens.js';

/**
 * Maximum number of leading blocks that are hashed; later ones rarely affect which engine has a prefix
 * cached.
 */
export const MAX_PREFIX_BLOCKS = 64;

const PREFIX_BLOCK_BYTES = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN;
const DIGEST_HEX_DIGITS = 16;

/**
 * Hashes the prefixes of a prompt that end at a block boundary. Two prompts share as many digests as
 * they share leading blocks. An incomplete last block is left out.
 *
 * @param parts texts of the prompt in order, including separators between them
 * @returns digests in hex, shortest prefix first
 */
export const hashPrefixes = (model: string, parts: readonly string[]): string[] => {
  const hash = createHash('sha256').update(`${model}\0`);
  const digests: string[] = [];
  let missingBytes = PREFIX_BLOCK_BYTES;
  for (let index = 0; index < parts.length; index += 1) {
    let bytes = Buffer.from((parts[index] ?? '').slice(0, PREFIX_BLOCK_BYTES * MAX_PREFIX_BLOCKS));
    while (bytes.length >= missingBytes) {
      hash.update(bytes.subarray(0, missingBytes));
      digests.push(hash.copy().digest('hex').slice(0, DIGEST_HEX_DIGITS));
      if (digests.length === MAX_PREFIX_BLOCKS) return digests;
      bytes = bytes.subarray(missingBytes);
      missingBytes = PREFIX_BLOCK_BYTES;
    }
    hash.update(bytes);
    missingBytes -= bytes.length;
  }
  return digests;
};
