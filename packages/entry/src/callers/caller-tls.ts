import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import { Err, Ok, type Result } from '@savorywind/model';
import type { EntrySettings } from '../settings/schema.js';

export type CertificateFiles = NonNullable<EntrySettings['callers']['tls']>;

/** Certificate chain and private key, in PEM. */
export interface Certificate {
  readonly cert: Buffer;
  readonly key: Buffer;
}

/**
 * Reads a certificate and its key and checks that they belong together.
 *
 * @returns Err with a text that names the files, never their contents
 */
export const loadCertificate = (files: CertificateFiles): Result<Certificate, string> => {
  const { certificateFile, keyFile } = files;
  try {
    const certificate = { cert: readFileSync(certificateFile), key: readFileSync(keyFile) };
    createSecureContext(certificate);
    return Ok(certificate);
  } catch (fault) {
    const { code = 'invalid' } = fault as NodeJS.ErrnoException;
    return Err(`${certificateFile}, ${keyFile}: ${code}`);
  }
};
