import { describe, expect, it } from 'vitest';
import {
  RequestFingerprint,
  type RequestIdentity,
} from '../../src/gateway/callers/request-fingerprint.js';

const IDENTITY: RequestIdentity = {
  method: 'POST',
  host: 'chairs.example',
  url: '/draft/1',
  credential: 'key',
};

const createFingerprint = (
  changes: Partial<RequestIdentity> = {},
  ...chunks: readonly string[]
): string => {
  const fingerprint = new RequestFingerprint({ ...IDENTITY, ...changes });
  chunks.forEach((chunk) => fingerprint.add(Buffer.from(chunk)));
  return fingerprint.finish();
};

describe('the fingerprint of a request', () => {
  it('is the same however its body arrives', () => {
    expect(createFingerprint({}, 'a body')).toBe(createFingerprint({}, 'a', ' bod', 'y'));
    expect(createFingerprint({}, 'a body')).toMatch(/^[0-9a-f]{16}$/);
  });

  it.each<Partial<RequestIdentity>>([
    { method: 'GET' },
    { host: 'tables.example' },
    { url: '/draft/2' },
    { url: '/draft/1?a=1' },
    { credential: 'other' },
    { credential: undefined },
    { url: '/draft/1k', credential: 'ey' },
  ])('differs with %j', (changes) => {
    expect(createFingerprint(changes, 'a body')).not.toBe(createFingerprint({}, 'a body'));
  });

  it('differs with the body', () => {
    expect(createFingerprint({}, 'a body')).not.toBe(createFingerprint({}, 'a bodY'));
    expect(createFingerprint({}, 'a body')).not.toBe(createFingerprint({}));
  });
});
