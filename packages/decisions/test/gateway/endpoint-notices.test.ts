import { describe, expect, it } from 'vitest';
import { startDriver } from '../fixtures/gateway-driver.js';

describe('a notice in a response of an endpoint', () => {
  it('that can’t be decoded is logged and changes nothing', () => {
    const driver = startDriver('e1');
    const { endpoint } = driver.findAttempt(driver.request('/chat/'))!;
    const notice = { leaving: 'unreadable', retryAfterMs: 'unreadable' } as const;
    driver.dispatch({ kind: 'endpoint.noticeReported', endpoint, notice });
    const unreadable = driver
      .list('log')
      .filter(({ event }) => event.name === 'endpointNoticeUnreadable');
    expect(unreadable.map(({ fields }) => fields)).toEqual([
      { endpoint: 'e1', field: 'leaving' },
      { endpoint: 'e1', field: 'retryAfter' },
    ]);
    expect(driver.findAttempt(driver.request('/chat/'))?.endpoint.id).toBe('e1');
  });
});
