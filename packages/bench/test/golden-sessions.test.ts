import { describe, expect, it } from 'vitest';
import { createSmallConfiguration } from '../src/world/deployments.js';
import { createBooking, createChat, playSession, type Session } from './fixtures/sessions.js';

const ENTRY_VMS = ['entry-a1', 'entry-a2', 'entry-b1', 'entry-b2', 'entry-c1', 'entry-c2'];

const sessions: Readonly<Record<string, (session: Session) => void>> = {
  'ordinary-requests': ({ world, wait }) => {
    world.request('entry-a1', createChat());
    wait(1_000);
    world.request('entry-b1', createBooking());
    wait(1_000);
  },
  'booking-retried-through-another-entry-vm': ({ world, wait }) => {
    world.request('entry-a1', createBooking());
    wait(1_000);
    world.request('entry-b1', createBooking({ requestId: 'booking-2' }));
    wait(1_000);
    world.request('entry-c1', createBooking({ requestId: 'booking-3', digest: 'sunday' }));
    wait(1_000);
  },
  'store-answer-lost': ({ world, wait }) => {
    world.setPlatform('forgetful');
    world.request('entry-a1', createBooking());
    wait(2_500);
    world.setPlatform('up');
    wait(3_000);
    world.request('entry-b1', createBooking({ requestId: 'booking-2' }));
    wait(1_000);
  },
  'preset-race-of-two-operators': ({ world, wait }) => {
    const configuration = createSmallConfiguration(1);
    const peak = { ...configuration, presetInForce: 'peak' };
    const change = { baseVersion: 1, configuration: peak, submittedAtMs: 0 };
    world.askForChange('entry-a1', { ...change, changeId: 'to-peak', author: 'ada' });
    world.askForChange('entry-b1', { ...change, changeId: 'also-to-peak', author: 'ben' });
    wait(3_000);
    world.setPlatform('forgetful');
    world.askForChange('entry-c1', {
      baseVersion: 2,
      configuration,
      changeId: 'back-to-ordinary',
      author: 'ada',
      submittedAtMs: 0,
    });
    wait(5_000);
    world.setPlatform('up');
    wait(12_000);
  },
  'entry-vm-dies-during-a-stream': ({ world, wait }) => {
    world.request('entry-a1', createChat({ maxOutputTokens: 200 }));
    wait(1_000);
    world.killEntryVm('entry-a1');
    wait(500);
    world.request('entry-a2', createChat({ requestId: 'chat-2' }));
    wait(1_000);
    world.startEntryVm('entry-a1');
    wait(30_000);
  },
  'failure-domain-cut-off-and-back': ({ world, wait }) => {
    ['b', 'c', 'platform'].forEach((place) => world.cut('a', place));
    wait(2_000);
    world.commitConfiguration((configuration) => ({ ...configuration, presetInForce: 'peak' }));
    world.request('entry-a1', createChat());
    world.request('entry-a2', createBooking());
    world.request('entry-b1', createChat({ requestId: 'chat-2', digest: 'chat-2' }));
    wait(6_000);
    ['b', 'c', 'platform'].forEach((place) => world.heal('a', place));
    wait(9_000);
    world.request('entry-a1', createBooking({ requestId: 'booking-2' }));
    wait(1_000);
  },
  'rolling-replacement': ({ world, wait }) => {
    ENTRY_VMS.forEach((id, index) => {
      const requestId = `chat-${index + 1}`;
      world.request(id, createChat({ requestId, digest: requestId, maxOutputTokens: 100 }));
      wait(100);
      world.drainEntryVm(id);
      wait(5_000);
      world.startEntryVm(id);
      wait(5_000);
    });
  },
};

describe('golden session', () => {
  it.each(Object.keys(sessions))('%s', async (name) => {
    const script = sessions[name];
    if (script === undefined) throw new Error(`no session ${name}`);
    await expect(playSession(script)).toMatchFileSnapshot(`golden/${name}.txt`);
  });
});
