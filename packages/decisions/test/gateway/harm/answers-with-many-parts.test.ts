// An answer with hundreds of suspected parts had all suspects assessed once for each of them.
import type { HarmObservation } from '@savorywind/model';
import { expect, it } from 'vitest';
import type { GatewayContext } from '../../../src/gateway/gateway-context.js';
import { HarmfulRequests } from '../../../src/gateway/harm/harmful-requests.js';
import type { PeerTable } from '../../../src/gateway/peer-table.js';
import type { GatewayRecord } from '../../../src/gateway/request-record.js';

const PARTS = 256;
const CRASH_AGES_MS = [5_000, 4_000, 3_000];
const NOW_MS = 1_000_000;

const createObservation = (part: number): HarmObservation => ({
  suspect: `part/pool/llm/${part}`,
  depth: part,
  crashes: CRASH_AGES_MS.map((ageMs, process) => ({ process, request: process, tookMs: 0, ageMs })),
  begunAgeMs: undefined,
  triedAgeMs: undefined,
});

it('a sound answer with hundreds of suspected parts tells and assesses once', () => {
  let changes = 0;
  const harmful = new HarmfulRequests({
    context: { nowMs: NOW_MS, log: () => {}, schedule: () => {} } as unknown as GatewayContext,
    self: { id: 'a', failureDomain: 'a', address: { host: '127.0.0.1', port: 7_000 } },
    peers: { listActive: () => [], hasPeriodicPeers: false } as unknown as PeerTable,
    onChanged: () => {
      changes += 1;
    },
  });
  harmful.applyObservations(Array.from({ length: PARTS }, (_, part) => createObservation(part)));
  const sharedParts = Array.from({ length: PARTS }, (_, part) => String(part));
  harmful.recordSound({
    isSound: false,
    request: { sharedParts, model: 'llm', fingerprint: 'f' },
    service: { name: 'pool' },
  } as unknown as GatewayRecord);
  expect(harmful.usage.blocked).toEqual([]);
  expect(changes).toBe(1);
});
