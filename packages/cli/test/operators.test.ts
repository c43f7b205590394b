import { fileURLToPath } from 'node:url';
import { resultCodes } from '@savorywind/model';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { exitCodes, runCommand, type ExitCode } from '../src/index.js';
import { createIo } from './fixtures/create-io.js';
import {
  OPERATOR_CREDENTIAL,
  startResponseDropper,
  startDeployment,
  type Deployment,
} from './fixtures/deployment.js';

const stuhlwerk = fileURLToPath(new URL('../../../examples/stuhlwerk', import.meta.url));
const UNREACHABLE_URL = 'http://127.0.0.1:9';
const WAIT = ['--wait', '30'];

interface Run {
  readonly exitCode: ExitCode;
  readonly json: Record<string, unknown>;
}

const run = async (entries: readonly string[], ...args: string[]): Promise<Run> => {
  const io = createIo({
    SAVORYWIND_ENTRY: entries.join(','),
    SAVORYWIND_CREDENTIAL: OPERATOR_CREDENTIAL,
  });
  const exitCode = await runCommand([...args, '--json'], io);
  return { exitCode, json: JSON.parse(io.lines.join('')) as Record<string, unknown> };
};

describe('the savorywind command', () => {
  let deployment: Deployment;
  let urls: string[];

  beforeEach(async () => {
    deployment = await startDeployment('entry-a1', 'entry-a2');
    urls = deployment.entries.map(({ url }) => url);
  });

  afterEach(() => deployment.stop());

  it('commits declarations, switches the preset, and rolls back as a new version', async () => {
    const applied = await run(urls, 'apply', stuhlwerk, ...WAIT);
    expect(applied).toMatchObject({
      exitCode: exitCodes.done,
      json: { version: 1, inForce: true },
    });
    expect((await run(urls, 'plan', stuhlwerk)).json).toEqual({ baseVersion: 1, changes: [] });
    const switched = await run(urls, 'preset', 'switch', 'peak', ...WAIT);
    expect(switched).toMatchObject({ exitCode: exitCodes.done, json: { version: 2, missing: [] } });
    const kept = await run(urls, 'apply', stuhlwerk);
    expect(kept.json).toMatchObject({ committed: false, version: 2 });
    const rolledBack = await run(urls, 'rollback', '1', ...WAIT);
    expect(rolledBack.json).toMatchObject({ committed: true, version: 3, baseVersion: 2 });
    const { json } = await run(urls, 'history');
    const versions = json.versions as { version: number; author: string }[];
    expect(versions.map(({ version, author }) => [version, author])).toEqual([
      [3, 'mona'],
      [2, 'mona'],
      [1, 'mona'],
    ]);
  });

  it('refuses a change based on a version that is no longer in force', async () => {
    await run(urls, 'apply', stuhlwerk, ...WAIT);
    await run(urls, 'preset', 'switch', 'peak', ...WAIT);
    const late = await run(urls, 'apply', stuhlwerk, '--base', '1', '--change-id', 'late-1');
    expect(late).toMatchObject({
      exitCode: exitCodes.serializationFailure,
      json: { error: { code: resultCodes.serializationFailure.code, committed: 'no', version: 2 } },
    });
  });

  it('retries a change with the same id at another entry VM if the response is lost', async () => {
    const dropper = await startResponseDropper(urls[0]!);
    const applied = await run([dropper.url, urls[1]!], 'apply', stuhlwerk, '--change-id', 'c-1');
    dropper.server.close();
    expect(applied.json).toMatchObject({ committed: true, version: 1, changeId: 'c-1' });
    const { json } = await run(urls, 'history');
    expect(json.versions).toHaveLength(1);
  });

  it('returns the committed version of a retried change, even after later changes', async () => {
    const apply = ['apply', stuhlwerk, '--change-id', 'c-1', '--base', '0', ...WAIT];
    const change = ['preset', 'switch', 'peak', '--change-id', 'c-2', '--base', '1', ...WAIT];
    const rollback = ['rollback', '1', '--change-id', 'c-3', '--base', '2', ...WAIT];
    const first = [
      await run(urls, ...apply),
      await run(urls, ...change),
      await run(urls, ...rollback),
    ];
    expect(first.map(({ json }) => json.version)).toEqual([1, 2, 3]);
    await run(urls, 'preset', 'switch', 'maintenance', ...WAIT);
    const again = [
      await run(urls, ...apply),
      await run(urls, ...change),
      await run(urls, ...rollback),
    ];
    expect(again.map(({ exitCode, json }) => [exitCode, json.version])).toEqual([
      [exitCodes.done, 1],
      [exitCodes.done, 2],
      [exitCodes.done, 3],
    ]);
    const { json } = await run(urls, 'history');
    expect(json.versions).toHaveLength(4);
  });

  it('fails over to the next entry VM if one is unreachable', async () => {
    const applied = await run([UNREACHABLE_URL, urls[1]!], 'apply', stuhlwerk);
    expect(applied.json).toMatchObject({ committed: true, version: 1 });
  });

  it('refuses an invalid credential and an unknown preset', async () => {
    const io = createIo({ SAVORYWIND_ENTRY: urls[0]!, SAVORYWIND_CREDENTIAL: 'wrong' });
    expect(await runCommand(['status'], io)).toBe(exitCodes.refused);
    expect(await runCommand(['history'], io)).toBe(exitCodes.refused);
    expect(io.errors.join('\n')).toContain('5007');
    await run(urls, 'apply', stuhlwerk);
    const unknown = await run(urls.slice(0, 1), 'preset', 'switch', 'night');
    expect(unknown.exitCode).toBe(exitCodes.usage);
  });

  it('drains one entry VM and shows the status of the others', async () => {
    await run(urls, 'apply', stuhlwerk, ...WAIT);
    const drained = await run([urls[0]!], 'drain');
    expect(drained.exitCode).toBe(exitCodes.done);
    await deployment.entries[0]!.drained;
    const { json } = await run(urls, 'status');
    const entryVms = json.entryVms as { vm: { id: string }; readiness: string }[];
    expect(entryVms.map(({ vm, readiness }) => [vm.id, readiness])).toEqual([
      ['entry-a2', 'ready'],
    ]);
    expect((await run(urls, 'requests')).json).toEqual({ requests: [] });
  });
});

describe('the command line', () => {
  it('fails without an entry VM or a credential, and for an unknown command', async () => {
    const io = createIo();
    expect(await runCommand(['status'], io)).toBe(exitCodes.usage);
    expect(await runCommand(['statsu'], io)).toBe(exitCodes.usage);
    expect(await runCommand(['status', '--entry', UNREACHABLE_URL], io)).toBe(exitCodes.usage);
  });
});
