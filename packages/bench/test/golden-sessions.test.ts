import { describe, expect, it } from 'vitest';
import { createSmallConfiguration } from '../src/simulation/deployments.js';
import { createBooking, createChat, runSession, type Session } from './fixtures/sessions.js';

const ENTRY_VMS = ['entry-a1', 'entry-a2', 'entry-b1', 'entry-b2', 'entry-c1', 'entry-c2'];

const sessions: Readonly<Record<string, (session: Session) => void>> = {
  'ordinary-requests': ({ simulation, wait }) => {
    simulation.request('entry-a1', createChat());
    wait(1_000);
    simulation.request('entry-b1', createBooking());
    wait(1_000);
  },
  'booking-retried-through-another-entry-vm': ({ simulation, wait }) => {
    simulation.request('entry-a1', createBooking());
    wait(1_000);
    simulation.request('entry-b1', createBooking({ requestId: 'booking-2' }));
    wait(1_000);
    simulation.request('entry-c1', createBooking({ requestId: 'booking-3', digest: 'sunday' }));
    wait(1_000);
  },
  'store-answer-lost': ({ simulation, wait }) => {
    simulation.setPlatform('forgetful');
    simulation.request('entry-a1', createBooking());
    wait(2_500);
    simulation.setPlatform('up');
    wait(3_000);
    simulation.request('entry-b1', createBooking({ requestId: 'booking-2' }));
    wait(1_000);
  },
  'preset-race-of-two-operators': ({ simulation, wait }) => {
    const configuration = createSmallConfiguration(1);
    const peak = { ...configuration, presetInForce: 'peak' };
    const change = { baseVersion: 1, configuration: peak, submittedAtMs: 0 };
    simulation.requestChange('entry-a1', { ...change, changeId: 'to-peak', author: 'ada' });
    simulation.requestChange('entry-b1', { ...change, changeId: 'also-to-peak', author: 'ben' });
    wait(3_000);
    simulation.setPlatform('forgetful');
    simulation.requestChange('entry-c1', {
      baseVersion: 2,
      configuration,
      changeId: 'back-to-ordinary',
      author: 'ada',
      submittedAtMs: 0,
    });
    wait(5_000);
    simulation.setPlatform('up');
    wait(12_000);
  },
  'entry-vm-dies-during-a-stream': ({ simulation, wait }) => {
    simulation.request('entry-a1', createChat({ maxOutputTokens: 200 }));
    wait(1_000);
    simulation.killEntryVm('entry-a1');
    wait(500);
    simulation.request('entry-a2', createChat({ requestId: 'chat-2' }));
    wait(1_000);
    simulation.startEntryVm('entry-a1');
    wait(30_000);
  },
  'failure-domain-cut-off-and-back': ({ simulation, wait }) => {
    ['b', 'c', 'platform'].forEach((location) => simulation.partition('a', location));
    wait(2_000);
    simulation.commitConfiguration((configuration) => ({
      ...configuration,
      presetInForce: 'peak',
    }));
    simulation.request('entry-a1', createChat());
    simulation.request('entry-a2', createBooking());
    simulation.request('entry-b1', createChat({ requestId: 'chat-2', digest: 'chat-2' }));
    wait(6_000);
    ['b', 'c', 'platform'].forEach((location) => simulation.reconnect('a', location));
    wait(9_000);
    simulation.request('entry-a1', createBooking({ requestId: 'booking-2' }));
    wait(1_000);
  },
  'rolling-replacement': ({ simulation, wait }) => {
    ENTRY_VMS.forEach((id, index) => {
      const requestId = `chat-${index + 1}`;
      simulation.request(id, createChat({ requestId, digest: requestId, maxOutputTokens: 100 }));
      wait(100);
      simulation.drainEntryVm(id);
      wait(5_000);
      simulation.startEntryVm(id);
      wait(5_000);
    });
  },
};

describe('golden session', () => {
  it.each(Object.keys(sessions))('%s', async (name) => {
    const script = sessions[name];
    if (script === undefined) throw new Error(`unknown session ${name}`);
    await expect(runSession(script)).toMatchFileSnapshot(`golden/${name}.txt`);
  });
});
