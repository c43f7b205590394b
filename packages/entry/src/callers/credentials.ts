import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration, TeamDeclaration } from '@savorywind/model';

const BEARER = /^bearer +(\S+) *$/i;

interface KnownCredential {
  readonly team: TeamDeclaration;
  readonly digest: Buffer;
}

/** Credentials of each configuration by digest; a configuration that is out of force is collected. */
const indexes = new WeakMap<Configuration, ReadonlyMap<string, KnownCredential>>();

/** Takes the credential out of an Authorization header. */
export const readBearer = (authorization: string | undefined): string | undefined =>
  BEARER.exec(authorization ?? '')?.[1];

const createIndex = (configuration: Configuration): ReadonlyMap<string, KnownCredential> =>
  new Map(
    configuration.teams.flatMap((team) =>
      team.credentialSha256.map((hex) => [hex, { team, digest: Buffer.from(hex, 'hex') }]),
    ),
  );

const readIndex = (configuration: Configuration): ReadonlyMap<string, KnownCredential> => {
  const known = indexes.get(configuration);
  if (known !== undefined) return known;
  const created = createIndex(configuration);
  indexes.set(configuration, created);
  return created;
};

/**
 * Finds the team that a credential belongs to. Only digests are looked up and compared, the last step
 * in constant time, so that the time taken tells nothing about a credential.
 */
export const findTeam = (
  configuration: Configuration,
  credential: string,
): TeamDeclaration | undefined => {
  const digest = createHash('sha256').update(credential).digest();
  const known = readIndex(configuration).get(digest.toString('hex'));
  if (known === undefined || !timingSafeEqual(digest, known.digest)) return undefined;
  return known.team;
};
