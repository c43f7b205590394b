import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import type { NodeStatus } from '@savorywind/decisions';
import type { Configuration, MembershipEntry } from '@savorywind/model';
import { reservePort } from '@savorywind/stand-ins';
import { startEntry, startStandIn, type StartedProcess } from '../process/child-process.js';
import { startCountingProxy, type CountingProxy } from './counting-proxy.js';

const host = '127.0.0.1';
const CREDENTIAL = 'measurement';
const DOMAINS = ['a', 'b', 'c'];

/** Number of the log event `configurationAdopted`. */
const CONFIGURATION_ADOPTED_EVENT = 301;

/** One entry VM process and the proxy between it and the platform. */
interface Member {
  readonly id: string;
  readonly operatorsUrl: string;
  readonly process: StartedProcess;
  readonly proxy: CountingProxy;
}

/** Entry VM processes with a platform stand-in. Records when each adopts which version. */
export class MeasuredFleet {
  /** Wall-clock time of adoption in milliseconds, by version and entry VM id. */
  readonly adoptionTimes = new Map<number, Map<string, number>>();

  private constructor(
    private readonly folder: string,
    private readonly platform: StartedProcess,
    readonly members: readonly Member[],
  ) {
    members.forEach((member) => this.watchLog(member));
  }

  /** Starts a platform stand-in and a number of entry VMs in three failure domains. */
  static async start(count: number): Promise<MeasuredFleet> {
    const folder = mkdtempSync(join(tmpdir(), 'savorywind-measure-'));
    const platform = await startStandIn('platform', { port: 0 });
    const members: Member[] = [];
    for (let index = 0; index < count; index += 1) {
      members.push(await MeasuredFleet.startMember(folder, platform.port, index));
    }
    return new MeasuredFleet(folder, platform, members);
  }

  private static async startMember(
    folder: string,
    platformPort: number,
    index: number,
  ): Promise<Member> {
    const failureDomain = DOMAINS[index % DOMAINS.length] ?? 'a';
    const id = `entry-${failureDomain}${Math.floor(index / DOMAINS.length) + 1}`;
    const [operators, links] = [await reservePort(), await reservePort()];
    const proxy = await startCountingProxy(platformPort);
    const sha256 = createHash('sha256').update(CREDENTIAL).digest('hex');
    const file = join(folder, `${id}.json`);
    const settings = {
      id,
      failureDomain,
      callers: { host, port: 0 },
      operators: { host, port: operators, credentials: [{ name: 'measurement', sha256 }] },
      links: { host, port: links },
      platform: { host, port: proxy.port },
    };
    writeFileSync(file, JSON.stringify(settings));
    const process = await startEntry(file);
    return { id, operatorsUrl: `http://${host}:${operators}`, process, proxy };
  }

  /** Writes all entry VMs to the platform's membership list, so that they open links. */
  async writeMembership(): Promise<void> {
    const statuses = await Promise.all(
      this.members.map((member) => MeasuredFleet.readStatus(member)),
    );
    const entries: MembershipEntry[] = statuses.map(({ vm }) => ({ vm, state: 'live' }));
    await fetch(`http://${host}:${this.platform.port}/control/membership`, {
      method: 'PUT',
      body: JSON.stringify({ entries }),
    });
  }

  /**
   * Sends a change to one of the entry VMs.
   *
   * @returns wall-clock time in milliseconds at which the change was sent, and its version
   */
  async commit(baseVersion: number, configuration: Configuration) {
    const member = this.members[baseVersion % this.members.length];
    const sentAtMs = Date.now();
    const response = await fetch(`${member?.operatorsUrl}/v1/changes`, {
      method: 'POST',
      headers: { authorization: `Bearer ${CREDENTIAL}` },
      body: JSON.stringify({ changeId: `m-${baseVersion}`, baseVersion, configuration }),
    });
    const { version } = (await response.json()) as { version: number };
    return { sentAtMs, version };
  }

  /** Bytes exchanged between all entry VMs and the platform so far. */
  countPlatformBytes(): number {
    return this.members.reduce((sum, { proxy }) => sum + proxy.countBytes(), 0);
  }

  /** Whether all entry VMs have adopted a version. */
  isAdoptedEverywhere(version: number): boolean {
    return this.adoptionTimes.get(version)?.size === this.members.length;
  }

  stop(): void {
    this.members.forEach(({ process, proxy }) => {
      process.child.kill('SIGKILL');
      proxy.server.close();
    });
    this.platform.child.kill('SIGKILL');
    rmSync(this.folder, { recursive: true });
  }

  private static async readStatus({ operatorsUrl }: Member): Promise<NodeStatus> {
    const headers = { authorization: `Bearer ${CREDENTIAL}` };
    const response = await fetch(`${operatorsUrl}/v1/status`, { headers });
    return (await response.json()) as NodeStatus;
  }

  /** Records adoption times from the log lines that the process writes. */
  private watchLog({ id, process }: Member): void {
    if (process.child.stdout === null) return;
    createInterface({ input: process.child.stdout }).on('line', (line) => {
      const { event, version, time } = JSON.parse(line) as {
        event: number;
        version: number;
        time: string;
      };
      if (event !== CONFIGURATION_ADOPTED_EVENT) return;
      const times = this.adoptionTimes.get(version) ?? new Map<string, number>();
      this.adoptionTimes.set(version, times);
      times.set(id, Date.parse(time));
    });
  }
}
