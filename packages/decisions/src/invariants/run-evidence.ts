/**
 * Counts what is known about the runs of one request. Kept apart from the state machine, so that
 * the invariants don't rest on the state that they check.
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

  recordNotRun(): void {
    this.provenNotRun += 1;
  }
}
