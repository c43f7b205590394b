import {
  Err,
  Ok,
  type MembershipEntry,
  type PlatformCall,
  type PlatformFailure,
  type PlatformReply,
  type Result,
  type TableOutcome,
} from '@savorywind/model';
import { TableStore } from '@savorywind/stand-ins';
import type { RandomSource } from './random-source.js';

/**
 * How the platform handles calls: `up` responds within milliseconds, `down` does not execute them
 * and never responds, `slow` responds within the caller's timeout or executes them only after it,
 * `forgetful` executes them and loses the responses.
 */
export type PlatformMode = 'up' | 'down' | 'slow' | 'forgetful';

/** Called with the reply to a platform call, or with the failure of the call. */
export type PlatformListener = (reply: Result<PlatformReply, PlatformFailure>) => void;

interface DelayedReply {
  readonly delayMs: number;
  readonly reply: Result<PlatformReply, PlatformFailure>;
}

/** Time after which a caller stops waiting for a response. */
const CALL_TIMEOUT_MS = 2_000;
const MAX_SLOW_DELAY_MS = 6_000;

/** Simulated platform with a table service and a membership list; `mode` simulates outages. */
export class FakePlatform {
  readonly store = new TableStore();

  mode: PlatformMode = 'up';

  /** Membership list; the simulation updates it with a lag. */
  membership: MembershipEntry[] = [];

  /** Number of successful writes. */
  writeCount = 0;

  constructor(
    private readonly random: RandomSource,
    private readonly record: (text: string) => void,
  ) {}

  private readonly responders: Readonly<
    Record<PlatformMode, (call: PlatformCall) => DelayedReply>
  > = {
    up: (call) => ({ delayMs: this.random.drawBetween(1, 4), reply: Ok(this.execute(call)) }),
    down: () => ({ delayMs: this.random.drawBetween(1, CALL_TIMEOUT_MS), reply: Err('unsent') }),
    slow: (call) => this.createSlowReply(call),
    forgetful: (call) => {
      this.execute(call);
      return { delayMs: CALL_TIMEOUT_MS, reply: Err('unanswered') };
    },
  };

  call(call: PlatformCall, listener: PlatformListener): void {
    const { delayMs, reply } = this.responders[this.mode](call);
    setTimeout(() => listener(reply), delayMs);
  }

  /**
   * Replies after a random delay. From the timeout on, the call is executed only after that delay,
   * when the caller has already received `unanswered`.
   */
  private createSlowReply(call: PlatformCall): DelayedReply {
    const delayMs = this.random.drawBetween(0, MAX_SLOW_DELAY_MS);
    if (delayMs < CALL_TIMEOUT_MS) return { delayMs, reply: Ok(this.execute(call)) };
    setTimeout(() => this.execute(call), delayMs);
    return { delayMs: CALL_TIMEOUT_MS, reply: Err('unanswered') };
  }

  private execute(call: PlatformCall): PlatformReply {
    if (call.kind === 'membership') return { kind: 'membership', entries: [...this.membership] };
    const outcomes: TableOutcome[] = this.store.apply(call.operations);
    call.operations.forEach((operation, index) => {
      if (operation.kind !== 'insert' && operation.kind !== 'replace') return;
      const { kind, table, key } = operation;
      this.record(`platform: ${kind} ${table} ${key}: ${outcomes[index]?.kind}`);
    });
    this.writeCount += outcomes.filter(({ kind }) => kind === 'written').length;
    return { kind: 'tables', outcomes };
  }
}
