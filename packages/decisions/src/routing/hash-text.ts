const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;
const MIX_1 = 0x85ebca6b;
const MIX_2 = 0xc2b2ae35;

/** A 32-bit hash (FNV-1a, mixed as in MurmurHash3) that is the same on every entry VM. */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  /* eslint-disable no-bitwise */
  hash = Math.imul(hash ^ (hash >>> 16), MIX_1);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_2);
  return (hash ^ (hash >>> 16)) >>> 0;
  /* eslint-enable no-bitwise */
};
