import {
  DATAGRAM_HEADER_BYTES,
  GatewayNode,
  type GatewayEffect,
  type GatewayEvent,
} from '@savorywind/decisions';
import { SnapshotCodec } from '@savorywind/entry';
import type { GatewayConfiguration, GatewayEndpoint, GatewayPeer } from '@savorywind/model';
import TinyQueue from 'tinyqueue';
import { RandomSource } from '../workload/random-source.js';
import {
  createEndpoints,
  createPeers,
  GATEWAY_CONFIGURATION,
  GATEWAY_CONTRACT,
} from './fixtures.js';

export interface GatewayFleetOptions {
  readonly seed: number;
  readonly entryVms: number;
  readonly engines: number;
  readonly failureDomains: number;
  /** Requests per second of the whole fleet. */
  readonly requestsPerS: number;
}

/** Traffic that one entry VM exchanged with its peers. */
export interface SnapshotTraffic {
  sentDatagrams: number;
  sentBytes: number;
  receivedDatagrams: number;
}

interface DueEvent {
  readonly atMs: number;
  readonly vm: number;
  readonly event: GatewayEvent;
}

const DATAGRAM_DELAY_MS = 1;
const MS_PER_S = 1_000;

/** Responses of the simulated engines. */
const FIRST_EVENT_MS = 200;
const EVENTS = 36;
const EVENT_INTERVAL_MS = 60;

/** Prompt lengths in tokens, with the fraction of requests that have them. */
const PROMPTS = [
  { tokens: 5_000, fraction: 0.92 },
  { tokens: 45_000, fraction: 0.06 },
  { tokens: 260_000, fraction: 0.02 },
];

/** Gateways of one fleet in one process, on a simulated clock, without sockets. */
export class GatewayFleet {
  readonly traffic: readonly SnapshotTraffic[];

  private nowMs = 0;

  private readonly random: RandomSource;

  private readonly peers: readonly GatewayPeer[];

  private readonly vmByHost: ReadonlyMap<string, number>;

  private readonly nodes: readonly GatewayNode[];

  private readonly dueEvents = new TinyQueue<DueEvent>([], (a, b) => a.atMs - b.atMs);

  private readonly codec = new SnapshotCodec();

  private requests = 0;

  constructor(private readonly options: GatewayFleetOptions) {
    const { seed, entryVms, failureDomains } = options;
    this.random = new RandomSource(seed);
    this.peers = createPeers(entryVms, failureDomains);
    this.vmByHost = new Map(this.peers.map(({ address }, vm) => [address.host, vm]));
    this.traffic = this.peers.map(() => ({ sentDatagrams: 0, sentBytes: 0, receivedDatagrams: 0 }));
    this.nodes = this.peers.map(
      (self, vm) =>
        new GatewayNode({ self, incarnation: 1, seed: seed + vm, contract: GATEWAY_CONTRACT }),
    );
    this.startNodes(GATEWAY_CONFIGURATION, createEndpoints(options.engines, failureDomains));
  }

  /** Advances the clock under constant load. */
  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (; this.nowMs < endMs; this.nowMs += 1) {
      this.dispatchDueEvents();
      this.nodes.forEach((node, vm) => this.wakeIfDue(node, vm));
      if (this.random.drawUniform() < this.options.requestsPerS / MS_PER_S) this.startRequest();
    }
  }

  /** Sets all counts to zero. */
  resetTraffic(): void {
    this.traffic.forEach((item) => {
      item.sentDatagrams = 0;
      item.sentBytes = 0;
      item.receivedDatagrams = 0;
    });
  }

  private startNodes(
    configuration: GatewayConfiguration,
    endpoints: readonly GatewayEndpoint[],
  ): void {
    this.nodes.forEach((_node, vm) => {
      this.dispatch(vm, {
        kind: 'configuration.confirmed',
        requestedAtMs: 0,
        configuration,
        source: 'snapshot',
      });
      this.dispatch(vm, { kind: 'endpoints.read', endpoints });
      this.dispatch(vm, { kind: 'peers.read', peers: this.peers });
    });
  }

  private wakeIfDue(node: GatewayNode, vm: number): void {
    const wakeMs = node.nextWakeMs();
    if (wakeMs !== undefined && wakeMs <= this.nowMs) this.dispatch(vm, { kind: 'woken' });
  }

  private dispatchDueEvents(): void {
    for (
      let due = this.dueEvents.peek();
      due !== undefined && due.atMs <= this.nowMs;
      due = this.dueEvents.peek()
    ) {
      this.dueEvents.pop();
      this.dispatch(due.vm, due.event);
    }
  }

  private startRequest(): void {
    const requestId = `r${this.requests}`;
    this.requests += 1;
    const prompt = PROMPTS[this.random.drawWeighted(PROMPTS.map(({ fraction }) => fraction))]!;
    this.dispatch(this.random.drawIndex(this.nodes.length), {
      kind: 'request.arrived',
      request: {
        requestId,
        callerAttempt: requestId,
        host: 'chat.example',
        path: '/chat/',
        fingerprint: requestId,
        credential: undefined,
        waitsMs: 10_000,
        promptTokens: prompt.tokens,
        maxOutputTokens: 1_300,
        lastEventId: undefined,
        model: undefined,
        sharedParts: [],
      },
    });
  }

  private dispatch(vm: number, event: GatewayEvent): void {
    const effects = this.nodes[vm]!.handle(event, this.nowMs);
    effects.forEach((effect) => this.handleEffect(vm, effect));
  }

  private handleEffect(vm: number, effect: GatewayEffect): void {
    if (effect.kind === 'peers.send') this.deliver(vm, effect);
    else if (effect.kind === 'attempt.start') this.respond(vm, effect.attemptId);
    else if (effect.kind === 'reservation.ask') this.reserve(vm, effect.reservationId);
  }

  private deliver(
    sender: number,
    { snapshot, peers }: Extract<GatewayEffect, { readonly kind: 'peers.send' }>,
  ): void {
    const bytes = this.codec.encode(snapshot, 'compact').length + DATAGRAM_HEADER_BYTES;
    const sent = this.traffic[sender]!;
    sent.sentDatagrams += peers.length;
    sent.sentBytes += peers.length * bytes;
    peers.forEach(({ host }) => {
      const vm = this.vmByHost.get(host)!;
      this.traffic[vm]!.receivedDatagrams += 1;
      this.schedule(DATAGRAM_DELAY_MS, vm, { kind: 'peer.received', snapshot });
    });
  }

  private respond(vm: number, attemptId: string): void {
    const head = {
      status: 200,
      hasReceipt: true,
      content: 'events',
      isDelimited: true,
    } as const;
    this.schedule(FIRST_EVENT_MS, vm, { kind: 'attempt.headReceived', attemptId, head });
    for (let event = 0; event < EVENTS; event += 1) {
      const delayMs = FIRST_EVENT_MS + event * EVENT_INTERVAL_MS;
      this.schedule(delayMs, vm, {
        kind: 'attempt.eventPassed',
        attemptId,
        eventId: String(event),
      });
    }
    this.schedule(FIRST_EVENT_MS + EVENTS * EVENT_INTERVAL_MS, vm, {
      kind: 'attempt.ended',
      attemptId,
    });
  }

  private reserve(vm: number, reservationId: string): void {
    this.schedule(DATAGRAM_DELAY_MS, vm, {
      kind: 'reservation.answered',
      reservationId,
      outcome: 'reserved',
    });
  }

  private schedule(delayMs: number, vm: number, event: GatewayEvent): void {
    this.dueEvents.push({ atMs: this.nowMs + delayMs, vm, event });
  }
}
