import type { Configuration } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createSmallConfiguration } from '../src/world/deployments.js';
import { createBooking, createChat, playSession, type Session } from './fixtures/sessions.js';

const LEAVING = ['engine-a1', 'booking-a1'];
const NO_NEW_WORK_AFTER_MS = 3_000;
const ENTRY_VMS = ['entry-a1', 'entry-a2', 'entry-b1', 'entry-b2', 'entry-c1', 'entry-c2'];
const ROUNDS = 10;

const declareLeaving = (configuration: Configuration): Configuration => ({
  ...configuration,
  endpoints: configuration.endpoints.map((endpoint) =>
    LEAVING.includes(endpoint.id) ? { ...endpoint, state: 'leaving' as const } : endpoint,
  ),
});

const askForLeaving = ({ world }: Session): void => {
  world.askForChange('entry-b1', {
    changeId: 'leave',
    baseVersion: 1,
    configuration: declareLeaving(createSmallConfiguration(1)),
    author: 'operator',
    submittedAtMs: 0,
  });
};

/** Asks every entry VM in turn, and says which endpoints were tried. */
const listTriedEndpoints = (session: Session): Set<string> => {
  const { world, wait } = session;
  const tried = new Set<string>();
  for (let round = 0; round < ROUNDS; round += 1) {
    ENTRY_VMS.forEach((vm, index) => {
      const name = `${round}-${index}`;
      world.request(vm, createChat({ requestId: `chat-${name}`, digest: `chat-${name}` }));
      const call = { requestId: `call-${name}`, digest: `call-${name}` };
      const lookUp = { idempotency: 'idempotent', idempotencyKey: undefined } as const;
      world.request(vm, createBooking({ ...call, ...lookUp }));
    });
    wait(1_000);
  }
  world.transcript
    .format()
    .split('\n')
    .forEach((line) => {
      const [, endpoint] = / tries \S+ at (\S+) /.exec(line) ?? [];
      if (endpoint !== undefined) tried.add(endpoint);
    });
  return tried;
};

describe('a leaving endpoint', () => {
  it.each(['up', 'down'] as const)('gets nothing new after 3 s, platform %s', (platform) => {
    playSession((session) => {
      const { world, wait } = session;
      askForLeaving(session);
      wait(100);
      world.setPlatform(platform);
      wait(NO_NEW_WORK_AFTER_MS - 100);
      const tried = listTriedEndpoints(session);
      expect(LEAVING.filter((id) => tried.has(id))).toEqual([]);
      expect(tried.size).toBeGreaterThan(0);
      expect(world.callers.filter(({ outcome }) => outcome?.kind !== 'finished')).toEqual([]);
    });
  });

  it('is tried where it is not declared to leave', () => {
    playSession((session) => {
      expect([...listTriedEndpoints(session)]).toEqual(expect.arrayContaining(LEAVING));
    });
  });
});
