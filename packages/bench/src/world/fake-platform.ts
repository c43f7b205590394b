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
import type { RandomSource } from './random.js';

/**
 * How the platform answers: `up` at once, `down` not at all and without effect, `slow` after
 * seconds, `forgetful` takes writes and then loses the answer.
 */
export type PlatformMode = 'up' | 'down' | 'slow' | 'forgetful';

export type PlatformListener = (reply: Result<PlatformReply, PlatformFailure>) => void;

interface Answer {
  readonly delayMs: number;
  readonly reply: Result<PlatformReply, PlatformFailure>;
}

const CALL_TIMEOUT_MS = 2_000;
const MAX_SLOW_MS = 6_000;

/** The platform's table service and membership list, with outages on command. */
export class FakePlatform {
  readonly store = new TableStore();

  mode: PlatformMode = 'up';

  /** What the list says; it is changed by the world with a lag. */
  membership: MembershipEntry[] = [];

  writes = 0;

  constructor(
    private readonly random: RandomSource,
    private readonly record: (text: string) => void,
  ) {}

  private readonly answerers: Readonly<Record<PlatformMode, (call: PlatformCall) => Answer>> = {
    up: (call) => ({ delayMs: this.random.drawBetween(1, 4), reply: Ok(this.execute(call)) }),
    down: () => ({ delayMs: this.random.drawBetween(1, CALL_TIMEOUT_MS), reply: Err('unsent') }),
    slow: (call) => this.answerSlowly(call),
    forgetful: (call) => {
      this.execute(call);
      return { delayMs: CALL_TIMEOUT_MS, reply: Err('unanswered') };
    },
  };

  call(call: PlatformCall, listener: PlatformListener): void {
    const { delayMs, reply } = this.answerers[this.mode](call);
    setTimeout(() => listener(reply), delayMs);
  }

  /** A write that takes effect seconds later, maybe long after its caller gave up waiting. */
  private answerSlowly(call: PlatformCall): Answer {
    const delayMs = this.random.drawBetween(0, MAX_SLOW_MS);
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
    this.writes += outcomes.filter(({ kind }) => kind === 'written').length;
    return { kind: 'tables', outcomes };
  }
}
