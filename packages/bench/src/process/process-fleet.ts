import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createHash } from 'node:crypto';
import {
  CONFIGURATION_HEAD_KEY,
  tables,
  type Configuration,
  type ConfigurationHead,
  type EndpointDeclaration,
} from '@savorywind/model';
import { startEntry, startStandIn, type StartedProcess } from './child-process.js';
import { findFreePorts } from './free-ports.js';

const HOST = '127.0.0.1';
const DOMAINS = ['a', 'b', 'c'] as const;
const MEMORY_TOKENS = 400_000;
const PREFILL_TOKENS_PER_S = 20_000;
const DECODE_TOKENS_PER_S = 100;
const READY_ATTEMPTS = 300;
const READY_PAUSE_MS = 100;

/** Credential of the one team of a `ProcessFleet`. */
export const FLEET_CREDENTIAL = 'fleet-counter-credential';

/** Credential of the one operator of a `ProcessFleet`. */
export const FLEET_OPERATOR_CREDENTIAL = 'fleet-operator-credential';

const OPERATOR_NAME = 'mona';

const hashCredential = (credential: string): string =>
  createHash('sha256').update(credential).digest('hex');

interface EntryPlace {
  readonly id: string;
  readonly failureDomain: string;
  readonly callers: number;
  readonly links: number;
  readonly operators: number;
}

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const createConfiguration = (endpoints: EndpointDeclaration[]): Configuration => ({
  teams: [
    {
      id: 'counter',
      credentialSha256: [hashCredential(FLEET_CREDENTIAL)],
      weight: 1,
      limits: {},
    },
  ],
  models: [{ id: 'assistant', defaultTimeoutMs: 30_000, maxOutputTokens: 256 }],
  services: [
    {
      id: 'booking',
      defaultTimeoutMs: 10_000,
      unkeyedCalls: 'refuse',
      calls: [{ methods: ['GET'], path: '/bookings/*', idempotency: 'idempotent' }],
    },
  ],
  endpoints,
  presets: [
    { id: 'ordinary', slowdownWeight: 0.5 },
    { id: 'peak', slowdownWeight: 1 },
  ],
  presetInForce: 'ordinary',
});

const waitReady = async ({ id, callers }: EntryPlace): Promise<void> => {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
    const ready = await fetch(`http://${HOST}:${callers}/healthz/ready`).then(
      ({ ok }) => ok,
      () => false,
    );
    if (ready) return;
    await pause(READY_PAUSE_MS);
  }
  throw new Error(`${id} did not become ready`);
};

/**
 * Entry VMs in three failure domains before small stand-ins, each a process of its own. Whoever
 * starts one has to stop it.
 */
export class ProcessFleet {
  readonly entries = new Map<string, StartedProcess>();

  readonly engines: StartedProcess[] = [];

  private readonly places: EntryPlace[] = [];

  private readonly started: StartedProcess[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'savorywind-fleet-'));

  private platformPort = 0;

  private balancerPort = 0;

  /** Programs of entry VMs that run another build, by id. */
  private readonly entryMains = new Map<string, string>();

  platform: StartedProcess | undefined;

  get url(): string {
    return `http://${HOST}:${this.balancerPort}`;
  }

  /** Operators' addresses of all entry VMs. */
  get operatorUrls(): string[] {
    return this.places.map(({ operators }) => `http://${HOST}:${operators}`);
  }

  /** Callers' address of one entry VM, past the balancer. */
  formatCallerUrl(id: string): string {
    return `http://${HOST}:${this.findPlace(id).callers}`;
  }

  /**
   * Starts all processes and waits until every entry VM is ready.
   *
   * @param entryMains programs of entry VMs that run another build, by id
   */
  static async start(
    entriesPerDomain: number,
    entryMains: ReadonlyMap<string, string> = new Map(),
  ): Promise<ProcessFleet> {
    const fleet = new ProcessFleet();
    entryMains.forEach((main, id) => fleet.entryMains.set(id, main));
    try {
      await fleet.startAll(entriesPerDomain);
    } catch (fault) {
      fleet.stop();
      throw fault;
    }
    return fleet;
  }

  /** Kills all processes; nothing of them is left. */
  stop(): void {
    this.started.forEach(({ child }) => child.kill('SIGKILL'));
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Makes the next incarnation of an entry VM run another build; undefined stands for this one. */
  setEntryMain(id: string, main: string | undefined): void {
    if (main === undefined) this.entryMains.delete(id);
    else this.entryMains.set(id, main);
  }

  /** Starts the next incarnation of an entry VM, and waits until it is ready. */
  async startEntryVm(id: string): Promise<StartedProcess> {
    const place = this.findPlace(id);
    const file = join(this.folder, `${id}.json`);
    writeFileSync(file, JSON.stringify(this.createSettings(place)));
    const entry = this.add(await startEntry(file, this.entryMains.get(id)));
    this.entries.set(id, entry);
    await waitReady(place);
    return entry;
  }

  findEntryVm(id: string): StartedProcess {
    const entry = this.entries.get(id);
    if (entry === undefined) throw new Error(`no entry VM ${id}`);
    return entry;
  }

  private add(process: StartedProcess): StartedProcess {
    this.started.push(process);
    return process;
  }

  private findPlace(id: string): EntryPlace {
    const place = this.places.find((candidate) => candidate.id === id);
    if (place === undefined) throw new Error(`no place for ${id}`);
    return place;
  }

  private async startAll(entriesPerDomain: number): Promise<void> {
    const endpoints = await this.startEndpoints();
    await this.planPlaces(entriesPerDomain);
    await this.startPlatform(endpoints);
    await Promise.all(this.places.map(({ id }) => this.startEntryVm(id)));
    const backends = this.places.map(({ callers }) => ({ host: HOST, port: callers }));
    const balancer = this.add(await startStandIn('balancer', { port: 0, backends }));
    this.balancerPort = balancer.port;
  }

  private async startEndpoints(): Promise<EndpointDeclaration[]> {
    const endpoints: EndpointDeclaration[] = [];
    for (const failureDomain of DOMAINS) {
      const capacity = {
        memoryTokens: MEMORY_TOKENS,
        prefillTokensPerS: PREFILL_TOKENS_PER_S,
        decodeTokensPerS: DECODE_TOKENS_PER_S,
      };
      const engine = this.add(await startStandIn('engine', { port: 0, ...capacity }));
      this.engines.push(engine);
      endpoints.push({
        kind: 'engine',
        id: `engine-${failureDomain}1`,
        failureDomain,
        address: { host: HOST, port: engine.port },
        model: 'assistant',
        batchLimit: 64,
        fencing: 'checked',
        ...capacity,
      });
    }
    const booking = this.add(await startStandIn('service', { port: 0, name: 'booking' }));
    endpoints.push({
      kind: 'service',
      id: 'booking-a1',
      failureDomain: 'a',
      address: { host: HOST, port: booking.port },
      service: 'booking',
    });
    return endpoints;
  }

  private async planPlaces(entriesPerDomain: number): Promise<void> {
    for (const failureDomain of DOMAINS) {
      for (let index = 1; index <= entriesPerDomain; index += 1) {
        const [callers = 0, links = 0, operators = 0] = await findFreePorts(3);
        const id = `entry-${failureDomain}${index}`;
        this.places.push({ id, failureDomain, callers, links, operators });
      }
    }
  }

  private async startPlatform(endpoints: EndpointDeclaration[]): Promise<void> {
    const membership = this.places.map(({ id, failureDomain, links }) => ({
      vm: { id, incarnation: 0, failureDomain, link: { host: HOST, port: links } },
      state: 'live',
    }));
    this.platform = this.add(await startStandIn('platform', { port: 0, membership }));
    this.platformPort = this.platform.port;
    const value: ConfigurationHead = {
      version: 1,
      changeId: 'fleet-1',
      author: 'fleet',
      committedAtMs: Date.now(),
      configuration: createConfiguration(endpoints),
    };
    const key = CONFIGURATION_HEAD_KEY;
    const operation = { kind: 'insert', table: tables.configuration, key, value };
    await fetch(`http://${HOST}:${this.platformPort}/v1/tables`, {
      method: 'POST',
      body: JSON.stringify({ operations: [operation] }),
    });
  }

  private createSettings({ id, failureDomain, callers, links, operators }: EntryPlace): object {
    const credentials = [
      { name: OPERATOR_NAME, sha256: hashCredential(FLEET_OPERATOR_CREDENTIAL) },
    ];
    return {
      id,
      failureDomain,
      callers: { host: HOST, port: callers },
      operators: { host: HOST, port: operators, credentials },
      links: { host: HOST, port: links },
      platform: { host: HOST, port: this.platformPort },
    };
  }
}
