import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration, TeamDeclaration } from '@savorywind/model';

const BEARER_PATTERN = /^bearer +(\S+) *$/i;

interface CredentialEntry {
  readonly team: TeamDeclaration;
  readonly digest: Buffer;
}

/**
 * Credentials by their SHA-256 digest in hex, for each configuration. The weak keys let a replaced
 * configuration be garbage-collected together with its index.
 */
const indexByConfiguration = new WeakMap<Configuration, ReadonlyMap<string, CredentialEntry>>();

/** Returns the token of a Bearer Authorization header, or undefined for any other value. */
export const readBearerToken = (authorization: string | undefined): string | undefined =>
  BEARER_PATTERN.exec(authorization ?? '')?.[1];

const createIndex = (configuration: Configuration): ReadonlyMap<string, CredentialEntry> =>
  new Map(
    configuration.teams.flatMap((team) =>
      team.credentialSha256.map((hex) => [hex, { team, digest: Buffer.from(hex, 'hex') }]),
    ),
  );

const loadIndex = (configuration: Configuration): ReadonlyMap<string, CredentialEntry> => {
  const existing = indexByConfiguration.get(configuration);
  if (existing !== undefined) return existing;
  const created = createIndex(configuration);
  indexByConfiguration.set(configuration, created);
  return created;
};

/**
 * Finds the team that a credential belongs to. Only SHA-256 digests are looked up, and the final
 * comparison takes constant time, so response times reveal nothing about valid credentials.
 */
export const findTeamByCredential = (
  configuration: Configuration,
  credential: string,
): TeamDeclaration | undefined => {
  const digest = createHash('sha256').update(credential).digest();
  const entry = loadIndex(configuration).get(digest.toString('hex'));
  if (entry === undefined || !timingSafeEqual(digest, entry.digest)) return undefined;
  return entry.team;
};
