import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import { Err, Ok, type Result } from '@savorywind/model';
import type { EntrySettings } from '../settings/schema.js';

export type CertificateFiles = NonNullable<EntrySettings['callers']['tls']>;

/** Certificate chain and private key, in PEM format. */
export interface Certificate {
  readonly cert: Buffer;
  readonly key: Buffer;
}

/**
 * Reads a certificate and its private key, and checks that they match.
 *
 * @returns Err with the file names and an error code, without any file contents
 */
export const loadCertificate = (files: CertificateFiles): Result<Certificate, string> => {
  const { certificateFile, keyFile } = files;
  try {
    const certificate = { cert: readFileSync(certificateFile), key: readFileSync(keyFile) };
    createSecureContext(certificate);
    return Ok(certificate);
  } catch (error) {
    const { code = 'invalid' } = error as NodeJS.ErrnoException;
    return Err(`${certificateFile}, ${keyFile}: ${code}`);
  }
};
