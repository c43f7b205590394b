import csp, { type Channel } from 'js-csp';
import type { Result } from '@savorywind/model';
import type { TableClient, TableFailure, TableRow, TableRows } from './types.js';

/** What a watch tells of its table. Times are those at which the question left. */
export type TableUpdate =
  | { readonly kind: 'whole'; readonly rows: readonly TableRow[]; readonly askedAtMs: number }
  | { readonly kind: 'changes'; readonly rows: readonly TableRow[]; readonly askedAtMs: number }
  | { readonly kind: 'failed'; readonly detail: string };

export interface TableWatchOptions {
  readonly tables: TableClient;
  readonly table: string;
  /** How long the store may hold a question for changes back, in milliseconds. */
  readonly waitMs: number;
  /**
   * Pause between questions that the store answers at once, in milliseconds; undefined for none. Each
   * answer proves what held when it was asked for, where that of a long wait proves its beginning.
   * Answers may come out of order then: for tables whose rows tell which one is newer.
   */
  readonly confirmEveryMs: number | undefined;
  readonly readClockMs: () => number;
  readonly onUpdate: (update: TableUpdate) => void;
}

/** Pause after a failed call, doubled with each further one, in milliseconds. */
const FIRST_PAUSE_MS = 60;

/** A store that is back is noticed after this time, well inside the times to apply changes. */
const MAX_PAUSE_MS = 400;

const estimatePauseMs = (failures: number): number =>
  Math.min(FIRST_PAUSE_MS * 2 ** (failures - 1), MAX_PAUSE_MS);

type Answer = Result<TableRows, TableFailure>;

interface Question {
  readonly kind: 'whole' | 'changes';
  readonly askedAtMs: number;
  readonly call: Promise<Answer>;
}

/** In milliseconds. */
interface Pauses {
  readonly firstPauseMs: number;
  /** After each answer. */
  readonly pauseMs: number;
}

const openChannel = (call: Promise<Answer>): Channel<Answer> => {
  const channel = csp.chan<Answer>(csp.buffers.fixed(1));
  call.then((answer) => csp.putAsync(channel, answer));
  return channel;
};

/**
 * Follows one table: reads it whole, then its changes; where the store's history does not reach
 * back far enough, whole again. Goes on through failures until it is stopped.
 */
export class TableWatch {
  private stopped = false;

  private version: number | undefined;

  constructor(private readonly options: TableWatchOptions) {}

  start(): void {
    const { waitMs, confirmEveryMs } = this.options;
    this.follow(waitMs, { firstPauseMs: 0, pauseMs: 0 });
    if (confirmEveryMs === undefined) return;
    this.follow(0, { firstPauseMs: confirmEveryMs, pauseMs: confirmEveryMs });
  }

  stop(): void {
    this.stopped = true;
  }

  /** Asks again and again, with a pause after each answer. */
  private follow(waitMs: number, { firstPauseMs, pauseMs }: Pauses): void {
    const ask = (): Question => this.ask(waitMs);
    const takeAnswer = (question: Question, answer: Answer): boolean =>
      this.acceptAnswer(question, answer);
    const isStopped = (): boolean => this.stopped;
    csp.go(function* followTable() {
      let failures = 0;
      if (firstPauseMs > 0) yield csp.take(csp.timeout(firstPauseMs));
      while (!isStopped()) {
        const question = ask();
        const answer: Answer = yield csp.take(openChannel(question.call));
        const failed = !isStopped() && !takeAnswer(question, answer);
        failures = failed ? failures + 1 : 0;
        const nextMs = failed ? estimatePauseMs(failures) : pauseMs;
        if (nextMs > 0 && !isStopped()) yield csp.take(csp.timeout(nextMs));
      }
    });
  }

  private ask(waitMs: number): Question {
    const { tables, table, readClockMs } = this.options;
    const { version } = this;
    const askedAtMs = readClockMs();
    if (version === undefined) return { kind: 'whole', askedAtMs, call: tables.readAll(table) };
    const call = tables.readChanges(table, version, waitMs);
    return { kind: 'changes', askedAtMs, call };
  }

  /** @returns whether the question may be followed by the next one */
  private acceptAnswer({ kind, askedAtMs }: Question, answer: Answer): boolean {
    const { onUpdate } = this.options;
    if (answer.err) return this.acceptFailure(answer.val);
    const { version, rows } = answer.val;
    // Of two questions that overlap, the older answer may come last.
    this.version = Math.max(this.version ?? version, version);
    onUpdate({ kind, rows, askedAtMs });
    return true;
  }

  private acceptFailure({ kind, detail }: TableFailure): boolean {
    if (kind === 'historyLost') {
      this.version = undefined;
      return true;
    }
    this.options.onUpdate({ kind: 'failed', detail });
    return false;
  }
}
