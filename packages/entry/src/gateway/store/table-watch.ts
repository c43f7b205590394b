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
  readonly readClockMs: () => number;
  readonly onUpdate: (update: TableUpdate) => void;
}

/** Pause after a failed call, doubled with each further one, in milliseconds. */
const FIRST_PAUSE_MS = 60;

/** A store that is back is noticed after this time, well inside the times to apply changes. */
const MAX_PAUSE_MS = 400;

type Answer = Result<TableRows, TableFailure>;

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

  private failures = 0;

  constructor(private readonly options: TableWatchOptions) {}

  start(): void {
    const takeAnswer = (answer: Answer, askedAtMs: number): number =>
      this.acceptAnswer(answer, askedAtMs);
    const ask = (): Promise<Answer> => this.ask();
    const isStopped = (): boolean => this.stopped;
    const { readClockMs } = this.options;
    csp.go(function* watchTable() {
      while (!isStopped()) {
        const askedAtMs = readClockMs();
        const answer: Answer = yield csp.take(openChannel(ask()));
        const pauseMs = isStopped() ? 0 : takeAnswer(answer, askedAtMs);
        if (pauseMs > 0) yield csp.take(csp.timeout(pauseMs));
      }
    });
  }

  stop(): void {
    this.stopped = true;
  }

  private ask(): Promise<Answer> {
    const { tables, table, waitMs } = this.options;
    if (this.version === undefined) return tables.readAll(table);
    return tables.readChanges(table, this.version, waitMs);
  }

  /** @returns the pause before the next question, in milliseconds */
  private acceptAnswer(answer: Answer, askedAtMs: number): number {
    const { onUpdate } = this.options;
    if (answer.err) return this.acceptFailure(answer.val);
    const kind = this.version === undefined ? 'whole' : 'changes';
    this.failures = 0;
    this.version = answer.val.version;
    onUpdate({ kind, rows: answer.val.rows, askedAtMs });
    return 0;
  }

  private acceptFailure({ kind, detail }: TableFailure): number {
    if (kind === 'historyLost') {
      this.version = undefined;
      return 0;
    }
    this.options.onUpdate({ kind: 'failed', detail });
    this.failures += 1;
    return Math.min(FIRST_PAUSE_MS * 2 ** (this.failures - 1), MAX_PAUSE_MS);
  }
}
