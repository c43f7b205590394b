import { Ok, type Configuration, type Result } from '@savorywind/model';
import type { CommandFailure, EntryClient } from '../client/entry-client.js';

/** Version that a change is based on; version 0 has no configuration. */
export interface BaseVersion {
  readonly version: number;
  readonly configuration: Configuration | undefined;
}

/**
 * Reads the version that a change is based on; by default the one in force. A change that is
 * retried after a lost response names its original base version, so that the retry sends the same
 * change even if other versions have been committed since.
 */
export const readBase = async (
  client: EntryClient,
  version: number | undefined,
): Promise<Result<BaseVersion, CommandFailure>> => {
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
