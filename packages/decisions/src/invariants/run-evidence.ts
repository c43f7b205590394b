import type { AttemptFailure } from '../seam/types.js';

/** Failures that prove that no attempt ran, where no answer had begun. */
const PROOFS: ReadonlySet<AttemptFailure> = new Set(['notSent', 'rejected']);

/**
 * Counts what is known about the runs of one request. Kept apart from the state machine and its
 * tables, so that the invariants don't rest on what they check.
 */
export class RunEvidence {
  private starts = 0;

  private provenNotRun = 0;

  get mayHaveRun(): boolean {
    return this.starts > this.provenNotRun;
  }

  recordStart(): void {
    this.starts += 1;
  }

  /** Counts how a started attempt failed; resumptions start nothing and are not counted. */
  recordFailure(failure: AttemptFailure, answerBegan: boolean): void {
    if (PROOFS.has(failure) && !answerBegan) this.provenNotRun += 1;
  }
}
