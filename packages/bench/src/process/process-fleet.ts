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
import { reservePort } from '@savorywind/stand-ins';
import { startEntry, startStandIn, type StartedProcess } from './child-process.js';

const HOST = '127.0.0.1';
const FAILURE_DOMAINS = ['a', 'b', 'c'] as const;
const MEMORY_TOKENS = 400_000;
const PREFILL_TOKENS_PER_S = 20_000;
const DECODE_TOKENS_PER_S = 100;
/** Number of readiness probes before the start of an entry VM counts as failed. */
const READY_ATTEMPTS = 300;
const READY_POLL_INTERVAL_MS = 100;

/** Credential of the one team of a `ProcessFleet`. */
export const FLEET_CREDENTIAL = 'fleet-counter-credential';

/** Credential of the one operator of a `ProcessFleet`. */
export const FLEET_OPERATOR_CREDENTIAL = 'fleet-operator-credential';

const OPERATOR_NAME = 'mona';

const hashCredential = (credential: string): string =>
  createHash('sha256').update(credential).digest('hex');

/** Identity and ports of an entry VM. */
interface EntryVmSpec {
  readonly id: string;
  readonly failureDomain: string;
  readonly callerPort: number;
  readonly linkPort: number;
  readonly operatorPort: number;
}

const wait = (ms: number): Promise<void> =>
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

const waitUntilReady = async ({ id, callerPort }: EntryVmSpec): Promise<void> => {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
    const isReady = await fetch(`http://${HOST}:${callerPort}/healthz/ready`).then(
      ({ ok }) => ok,
      () => false,
    );
    if (isReady) return;
    await wait(READY_POLL_INTERVAL_MS);
  }
  throw new Error(`${id} did not become ready`);
};

/**
 * Entry VMs in three failure domains with stand-ins of engines, a booking service, the platform and
 * a balancer, each in a separate process. The caller of `start` must call `stop`.
 */
export class ProcessFleet {
  readonly entryVms = new Map<string, StartedProcess>();

  readonly engines: StartedProcess[] = [];

  private readonly entryVmSpecs: EntryVmSpec[] = [];

  private readonly startedProcesses: StartedProcess[] = [];

  private readonly folder = mkdtempSync(join(tmpdir(), 'savorywind-fleet-'));

  private platformPort = 0;

  private balancerPort = 0;

  /** Main files of entry VMs that run another build, by id. */
  private readonly entryMains = new Map<string, string>();

  platform: StartedProcess | undefined;

  get url(): string {
    return `http://${HOST}:${this.balancerPort}`;
  }

  /** URLs of the operator API of all entry VMs. */
  get operatorUrls(): string[] {
    return this.entryVmSpecs.map(({ operatorPort }) => `http://${HOST}:${operatorPort}`);
  }

  /** Returns the URL of the caller API of one entry VM, which bypasses the balancer. */
  formatCallerUrl(id: string): string {
    return `http://${HOST}:${this.findSpec(id).callerPort}`;
  }

  /**
   * Starts all processes and waits until every entry VM is ready.
   *
   * @param entryMains main files of entry VMs that run another build, by id
   */
  static async start(
    entryVmsPerDomain: number,
    entryMains: ReadonlyMap<string, string> = new Map(),
  ): Promise<ProcessFleet> {
    const fleet = new ProcessFleet();
    entryMains.forEach((main, id) => fleet.entryMains.set(id, main));
    try {
      await fleet.startAll(entryVmsPerDomain);
    } catch (error) {
      fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** Kills all processes and removes their settings files. */
  stop(): void {
    this.startedProcesses.forEach(({ child }) => child.kill('SIGKILL'));
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Sets the main file for the next incarnation of an entry VM; undefined selects this build. */
  setEntryMain(id: string, main: string | undefined): void {
    if (main === undefined) this.entryMains.delete(id);
    else this.entryMains.set(id, main);
  }

  /** Starts the next incarnation of an entry VM and waits until it is ready. */
  async startEntryVm(id: string): Promise<StartedProcess> {
    const spec = this.findSpec(id);
    const file = join(this.folder, `${id}.json`);
    writeFileSync(file, JSON.stringify(this.createSettings(spec)));
    const entry = this.add(await startEntry(file, this.entryMains.get(id)));
    this.entryVms.set(id, entry);
    await waitUntilReady(spec);
    return entry;
  }

  findEntryVm(id: string): StartedProcess {
    const entry = this.entryVms.get(id);
    if (entry === undefined) throw new Error(`entry VM ${id} has not been started`);
    return entry;
  }

  private add(process: StartedProcess): StartedProcess {
    this.startedProcesses.push(process);
    return process;
  }

  private findSpec(id: string): EntryVmSpec {
    const spec = this.entryVmSpecs.find((candidate) => candidate.id === id);
    if (spec === undefined) throw new Error(`no entry VM ${id} in this fleet`);
    return spec;
  }

  private async startAll(entryVmsPerDomain: number): Promise<void> {
    const endpoints = await this.startEndpoints();
    await this.createSpecs(entryVmsPerDomain);
    await this.startPlatform(endpoints);
    await Promise.all(this.entryVmSpecs.map(({ id }) => this.startEntryVm(id)));
    const backends = this.entryVmSpecs.map(({ callerPort }) => ({ host: HOST, port: callerPort }));
    const balancer = this.add(await startStandIn('balancer', { port: 0, backends }));
    this.balancerPort = balancer.port;
  }

  private async startEndpoints(): Promise<EndpointDeclaration[]> {
    const endpoints: EndpointDeclaration[] = [];
    for (const failureDomain of FAILURE_DOMAINS) {
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

  private async createSpecs(entryVmsPerDomain: number): Promise<void> {
    for (const failureDomain of FAILURE_DOMAINS) {
      for (let index = 1; index <= entryVmsPerDomain; index += 1) {
        this.entryVmSpecs.push({
          id: `entry-${failureDomain}${index}`,
          failureDomain,
          callerPort: await reservePort(),
          linkPort: await reservePort(),
          operatorPort: await reservePort(),
        });
      }
    }
  }

  private async startPlatform(endpoints: EndpointDeclaration[]): Promise<void> {
    const membership = this.entryVmSpecs.map(({ id, failureDomain, linkPort }) => ({
      vm: { id, incarnation: 0, failureDomain, link: { host: HOST, port: linkPort } },
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

  private createSettings({
    id,
    failureDomain,
    callerPort,
    linkPort,
    operatorPort,
  }: EntryVmSpec): object {
    const credentials = [
      { name: OPERATOR_NAME, sha256: hashCredential(FLEET_OPERATOR_CREDENTIAL) },
    ];
    return {
      id,
      failureDomain,
      callers: { host: HOST, port: callerPort },
      operators: { host: HOST, port: operatorPort, credentials },
      links: { host: HOST, port: linkPort },
      platform: { host: HOST, port: this.platformPort },
    };
  }
}
