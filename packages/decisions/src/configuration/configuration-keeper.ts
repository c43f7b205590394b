import {
  CONFIGURATION_HEAD_KEY,
  logEvents,
  parseConfiguration,
  tables,
  type Configuration,
  type ConfigurationHead,
  type MonotonicMs,
  type PlatformFailure,
  type PlatformReply,
  type Result,
  type Row,
} from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import { CONFIGURATION_POLL_MS, PLATFORM_RETRY_MS } from '../seam/consts.js';

/** Keeps the highest configuration version that this entry VM has seen. Versions only go up. */
export class ConfigurationKeeper {
  private head: ConfigurationHead | undefined;

  private confirmedAtMs: MonotonicMs | undefined;

  constructor(
    private readonly context: NodeContext,
    private readonly onAdopted: (head: ConfigurationHead) => void,
  ) {}

  start(): void {
    this.readHead();
  }

  get configuration(): Configuration | undefined {
    return this.head?.configuration;
  }

  get version(): number {
    return this.head?.version ?? 0;
  }

  get ageMs(): number | undefined {
    return this.confirmedAtMs === undefined ? undefined : this.context.nowMs - this.confirmedAtMs;
  }

  /** Takes a head from the table service or a peer; anything but a higher version is passed over. */
  offerHead(head: ConfigurationHead): void {
    if (head.version <= this.version) return;
    this.head = head;
    this.context.emit({
      kind: 'configuration.adopted',
      version: head.version,
      configuration: head.configuration,
    });
    this.context.log(logEvents.configurationAdopted, { version: head.version });
    this.onAdopted(head);
  }

  private readHead(): void {
    const operation = {
      kind: 'get',
      table: tables.configuration,
      key: CONFIGURATION_HEAD_KEY,
    } as const;
    this.context.callPlatform({ kind: 'tables', operations: [operation] }, (reply) =>
      this.acceptRead(reply),
    );
  }

  private acceptRead(reply: Result<PlatformReply, PlatformFailure>): void {
    this.context.schedule(reply.ok ? CONFIGURATION_POLL_MS : PLATFORM_RETRY_MS, () =>
      this.readHead(),
    );
    if (reply.err || reply.val.kind !== 'tables') return;
    this.confirmedAtMs = this.context.nowMs;
    const outcome = reply.val.outcomes[0];
    if (outcome?.kind !== 'row' || outcome.row === undefined) return;
    this.acceptRow(outcome.row);
  }

  private acceptRow(row: Row): void {
    const head = row.value as ConfigurationHead;
    if (head.version <= this.version) return;
    const parsed = parseConfiguration(head.configuration);
    if (parsed.err) {
      const [fault] = parsed.val;
      this.context.log(logEvents.configurationRejected, {
        version: head.version,
        path: fault?.path,
        fault: fault?.message,
      });
      return;
    }
    this.offerHead({ ...head, configuration: parsed.val });
  }
}
