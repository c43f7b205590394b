import { SnapshotCodec } from '@savorywind/entry';
import type { GatewayPeer } from '@savorywind/model';
import { createGatewayContract } from '@savorywind/stand-ins';
import { beforeEach, describe, expect, it } from 'vitest';
import type { GatewayEffect } from '../../src/gateway/types.js';
import { createEndpoint, GatewayDriver } from '../fixtures/gateway-driver.js';
import { DATAGRAM_HEADER_BYTES } from '../../src/gateway/consts.js';
import { Uplink } from '../fixtures/uplink.js';

/** The smallest VMs of a fleet of 87 in four failure domains have links of 14 Mbit/s. */
const LINK_BYTES_PER_MS = 1_750;
const PEERS = 86;
const ENGINES = 78;
const DOMAINS = ['a', 'b', 'c', 'd'];

/** After this time a request or a run of a caller that has disconnected breaks the contract. */
const MAX_WORK_AFTER_DISCONNECT_MS = 500;

const SNAPSHOT_INTERVAL_MS = 250;
/** Three times the mean of 60 VMs that share 250 requests a second. */
const REQUEST_INTERVAL_MS = 79;
const FIRST_EVENT_MS = 701;
const EVENT_INTERVAL_MS = 61;
const EVENTS = 36;
const CALLER_WAIT_MS = 2_000;
const DURATION_MS = 10_000;

const findDomain = (index: number): string => DOMAINS[index % DOMAINS.length]!;

const createPeers = (): GatewayPeer[] =>
  Array.from({ length: PEERS }, (_, index) => ({
    id: `entry-vm-${index + 2}`,
    failureDomain: findDomain(index + 1),
    address: { host: `10.0.1.${index + 2}`, port: 7_000 },
  }));

const createEngines = (): ReturnType<typeof createEndpoint>[] =>
  Array.from({ length: ENGINES }, (_, index) =>
    createEndpoint(`engine-${10_000_000 + index}`, { failureDomain: findDomain(index), slots: 8 }),
  );

/** One busy entry VM whose snapshots share its link with what it sends for requests. */
class BusyEntryVm {
  readonly uplink = new Uplink(LINK_BYTES_PER_MS);

  /** How long each start and each end of an attempt waited on the link, in milliseconds. */
  readonly delaysMs: number[] = [];

  private readonly driver = new GatewayDriver(
    createGatewayContract({ linkBytesPerMs: LINK_BYTES_PER_MS }),
  );

  private readonly codec = new SnapshotCodec();

  private readonly peers = createPeers();

  private readonly dueActions: { readonly atMs: number; readonly run: () => void }[] = [];

  private handledEffects = 0;

  private sequence = 0;

  constructor() {
    this.driver.start(createEngines());
    this.driver.dispatch({ kind: 'peers.read', peers: this.peers });
  }

  /** Runs the VM under constant load; each fifth caller gets no event and disconnects. */
  run(durationMs: number): void {
    const startMs = this.driver.nowMs;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1) {
      this.driver.nowMs = startMs + elapsedMs;
      if (elapsedMs % SNAPSHOT_INTERVAL_MS === 0) this.receiveSnapshots();
      if (elapsedMs % REQUEST_INTERVAL_MS === 0) this.startRequest(elapsedMs / REQUEST_INTERVAL_MS);
      this.runDueActions();
      this.driver.advance(0);
      this.handleEffects();
    }
  }

  private receiveSnapshots(): void {
    this.sequence += 1;
    const { sequence } = this;
    this.peers.forEach((from) => {
      const snapshot = { from, incarnation: 1, sequence, work: [] };
      this.driver.dispatch({ kind: 'peer.received', snapshot });
    });
  }

  private startRequest(number: number): void {
    const id = this.driver.request('/chat/', { promptTokens: 4_000 + 500 * (number % 8) });
    if (number % 5 === 0) {
      this.schedule(CALLER_WAIT_MS, () =>
        this.driver.dispatch({ kind: 'request.abandoned', requestId: id }),
      );
      return;
    }
    Array.from({ length: EVENTS }, (_, index) =>
      this.schedule(FIRST_EVENT_MS + index * EVENT_INTERVAL_MS, () =>
        this.sendEvent(id, index + 1),
      ),
    );
    this.schedule(FIRST_EVENT_MS + EVENTS * EVENT_INTERVAL_MS, () => this.finish(id));
  }

  private sendEvent(id: string, eventNumber: number): void {
    if (this.driver.findAttempt(id) !== undefined) this.driver.sendEvent(id, String(eventNumber));
  }

  private finish(id: string): void {
    const attempt = this.driver.findAttempt(id);
    if (attempt === undefined) return;
    this.driver.dispatch({ kind: 'attempt.ended', attemptId: attempt.attemptId });
  }

  private schedule(delayMs: number, run: () => void): void {
    this.dueActions.push({ atMs: this.driver.nowMs + delayMs, run });
  }

  private runDueActions(): void {
    const due = this.dueActions.filter(({ atMs }) => atMs === this.driver.nowMs);
    due.forEach(({ run }) => run());
  }

  private handleEffects(): void {
    const { effects } = this.driver;
    effects.slice(this.handledEffects).forEach((effect) => this.handleEffect(effect));
    this.handledEffects = effects.length;
  }

  private handleEffect(effect: GatewayEffect): void {
    const { nowMs } = this.driver;
    if (effect.kind === 'peers.send') {
      const bytes = this.codec.encode(effect.snapshot, 'named').length + DATAGRAM_HEADER_BYTES;
      effect.peers.forEach(() => this.uplink.send(bytes, nowMs));
    } else if (effect.kind === 'attempt.start' || effect.kind === 'attempt.cancel') {
      this.delaysMs.push(this.uplink.measureDelayMs(nowMs));
    }
  }
}

describe('work for callers that have disconnected (GONE), on a busy VM of a fleet of 87', () => {
  let vm: BusyEntryVm;

  beforeEach(() => {
    vm = new BusyEntryVm();
    vm.run(DURATION_MS);
  });

  it('does not go on because attempts and their ends wait behind snapshots on the link', () => {
    expect(vm.delaysMs.length).toBeGreaterThan(60);
    expect(Math.max(...vm.delaysMs)).toBeLessThan(MAX_WORK_AFTER_DISCONNECT_MS);
  });
});
