import type { Configuration } from '@savorywind/model';
import { describe, expect, it } from 'vitest';
import { createSmallConfiguration } from '../src/simulation/deployments.js';
import { createBooking, createChat, runSession, type Session } from './fixtures/sessions.js';

const LEAVING_IDS = ['engine-a1', 'booking-a1'];
const LEAVING_DELAY_MS = 3_000;
const ENTRY_VMS = ['entry-a1', 'entry-a2', 'entry-b1', 'entry-b2', 'entry-c1', 'entry-c2'];
const ROUNDS = 10;

const declareLeaving = (configuration: Configuration): Configuration => ({
  ...configuration,
  endpoints: configuration.endpoints.map((endpoint) =>
    LEAVING_IDS.includes(endpoint.id) ? { ...endpoint, state: 'leaving' as const } : endpoint,
  ),
});

const requestLeaving = ({ simulation }: Session): void => {
  simulation.requestChange('entry-b1', {
    changeId: 'leave',
    baseVersion: 1,
    configuration: declareLeaving(createSmallConfiguration(1)),
    author: 'operator',
    submittedAtMs: 0,
  });
};

/** Sends requests to all entry VMs and returns the ids of the endpoints that got an attempt. */
const listAttemptedEndpoints = (session: Session): Set<string> => {
  const { simulation, wait } = session;
  const attempted = new Set<string>();
  for (let round = 0; round < ROUNDS; round += 1) {
    ENTRY_VMS.forEach((vm, index) => {
      const name = `${round}-${index}`;
      simulation.request(vm, createChat({ requestId: `chat-${name}`, digest: `chat-${name}` }));
      const call = { requestId: `call-${name}`, digest: `call-${name}` };
      const lookup = { idempotency: 'idempotent', idempotencyKey: undefined } as const;
      simulation.request(vm, createBooking({ ...call, ...lookup }));
    });
    wait(1_000);
  }
  simulation.eventLog
    .format()
    .split('\n')
    .forEach((line) => {
      const [, endpoint] = / tries \S+ at (\S+) /.exec(line) ?? [];
      if (endpoint !== undefined) attempted.add(endpoint);
    });
  return attempted;
};

describe('a leaving endpoint', () => {
  it.each(['up', 'down'] as const)('gets no new requests after 3 s, platform %s', (platform) => {
    runSession((session) => {
      const { simulation, wait } = session;
      requestLeaving(session);
      wait(100);
      simulation.setPlatform(platform);
      wait(LEAVING_DELAY_MS - 100);
      const attempted = listAttemptedEndpoints(session);
      expect(LEAVING_IDS.filter((id) => attempted.has(id))).toEqual([]);
      expect(attempted.size).toBeGreaterThan(0);
      expect(simulation.callers.filter(({ outcome }) => outcome?.kind !== 'finished')).toEqual([]);
    });
  });

  it('gets requests if it is not declared as leaving', () => {
    runSession((session) => {
      expect([...listAttemptedEndpoints(session)]).toEqual(expect.arrayContaining(LEAVING_IDS));
    });
  });
});
