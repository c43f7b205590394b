import { describeError, type ErrorDescription } from '../observe/describe-error.js';

/**
 * Whose work it is that fails. Work of the process itself has no other owner: if it fails, the process
 * ends.
 */
export type WorkOwner =
  | 'request'
  | 'attempt'
  | 'endpoint'
  | 'peer'
  | 'store'
  | 'configuration'
  | 'observation'
  | 'process';

/** A piece of work that an exception or a rejection ends. */
export interface Work {
  /** Its kind, from a bounded set of names. */
  readonly work: string;
  readonly owner: WorkOwner;
  /** Name of the owner, for the log. */
  readonly ownerId?: string | undefined;
}

export type ReportContained = (work: Work, error: ErrorDescription) => void;

/**
 * Ends exceptions and rejections at the owner of the work, so that they reach neither the event loop nor
 * the work of another owner. Each one is reported and counted.
 *
 * @example
 * const containment = new Containment((work, error) => console.log(work, error));
 * socket.on('message', containment.guard({ work: 'datagram', owner: 'peer' }, handleDatagram));
 */
export class Containment {
  private readonly countsByWork = new Map<string, number>();

  constructor(private readonly report: ReportContained) {}

  /** Number of failures that were contained, by kind of work. */
  get counts(): ReadonlyMap<string, number> {
    return this.countsByWork;
  }

  /** Records a failure whose owner is told by the caller of this method. */
  record(work: Work, error: unknown): void {
    this.countsByWork.set(work.work, (this.countsByWork.get(work.work) ?? 0) + 1);
    try {
      this.report(work, describeError(error));
    } catch {
      // The count remains; a report that fails must not fail the owner of other work.
    }
  }

  /** Runs work; if it throws, records that and tells its owner. */
  run(work: Work, perform: () => void, onFailed?: (detail: string) => void): void {
    try {
      perform();
    } catch (error) {
      this.record(work, error);
      onFailed?.(describeError(error).detail);
    }
  }

  /** Returns a listener that does the same as the given one and throws nothing. */
  guard<Arguments extends readonly unknown[]>(
    work: Work,
    listener: (...args: Arguments) => void,
    onFailed?: (detail: string) => void,
  ): (...args: Arguments) => void {
    return (...args) => {
      try {
        listener(...args);
      } catch (error) {
        this.record(work, error);
        onFailed?.(describeError(error).detail);
      }
    };
  }

  /** Handles the outcome of a promise; if it is rejected, or the handler throws, tells the owner. */
  settle<Value>(
    work: Work,
    start: () => Promise<Value>,
    handle: (value: Value) => void,
    onFailed?: (detail: string) => void,
  ): void {
    const fail = (error: unknown): void => {
      this.run(
        work,
        () => {
          throw error;
        },
        onFailed,
      );
    };
    this.run(
      work,
      () => {
        start().then((value) => this.run(work, () => handle(value), onFailed), fail);
      },
      onFailed,
    );
  }
}
