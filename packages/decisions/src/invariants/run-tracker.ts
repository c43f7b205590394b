import type { AttemptFailure } from '../context/types.js';

/** Failures that prove that the attempt did not run, provided that no response had begun. */
const NOT_RUN_FAILURES: ReadonlySet<AttemptFailure> = new Set(['notSent', 'rejected']);

/**
 * Tracks whether any attempt of a request may have run. Independent of the request's state machine,
 * so that the invariants do not depend on the code that they check.
 */
export class RunTracker {
  private starts = 0;

  private provenNotRun = 0;

  /** Whether any attempt was started that is not proven not to have run. */
  get mayHaveRun(): boolean {
    return this.starts > this.provenNotRun;
  }

  recordStart(): void {
    this.starts += 1;
  }

  /** Counts the failure of an attempt. Not called for resumed streams, which start no new run. */
  recordFailure(failure: AttemptFailure, answerBegan: boolean): void {
    if (NOT_RUN_FAILURES.has(failure) && !answerBegan) this.provenNotRun += 1;
  }
}
