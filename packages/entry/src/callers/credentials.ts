import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration, TeamDeclaration } from '@savorywind/model';

const BEARER = 'Bearer ';

/** Takes the credential out of an Authorization header. */
export const readBearer = (authorization: string | undefined): string | undefined =>
  authorization?.startsWith(BEARER) ? authorization.slice(BEARER.length).trim() : undefined;

const matchesTeam = (digest: Buffer, team: TeamDeclaration): boolean =>
  team.credentialSha256.some((expected) => timingSafeEqual(digest, Buffer.from(expected, 'hex')));

/** Finds the team that a credential belongs to, in constant time for each hash compared. */
export const findTeam = (
  configuration: Configuration,
  credential: string,
): TeamDeclaration | undefined => {
  const digest = createHash('sha256').update(credential).digest();
  return configuration.teams.find((team) => matchesTeam(digest, team));
};
