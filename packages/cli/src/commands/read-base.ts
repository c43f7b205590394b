import { Ok, type Configuration, type Result } from '@savorywind/model';
import type { CommandFailure, EntryClient } from '../client/entry-client.js';

/** The version that a change is based on; version 0 has no configuration. */
export interface Base {
  readonly version: number;
  readonly configuration: Configuration | undefined;
}

/**
 * Reads the version that a change is based on: the one named, or the one in force. A change that is
 * sent again after a lost answer is worked out from the version that it was based on at first, so
 * that it is the same change whatever has been committed since.
 */
export const readBase = async (
  client: EntryClient,
  version: number | undefined,
): Promise<Result<Base, CommandFailure>> => {
  if (version === 0) return Ok({ version, configuration: undefined });
  if (version === undefined) {
    const read = await client.readHead();
    return read.map(({ head }) => ({
      version: head?.version ?? 0,
      configuration: head?.configuration,
    }));
  }
  const read = await client.read<{ readonly configuration: Configuration }>(
    `/v1/versions?version=${version}`,
  );
  return read.map(({ configuration }) => ({ version, configuration }));
};
