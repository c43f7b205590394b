import { describe, expect, it } from 'vitest';
import * as assertions from '../../src/invariants/assertions.js';
import { RunTracker } from '../../src/invariants/run-tracker.js';

const createRunTracker = (starts: number, provenNotRun: number): RunTracker => {
  const runTracker = new RunTracker();
  for (let count = 0; count < starts; count += 1) runTracker.recordStart();
  for (let count = 0; count < provenNotRun; count += 1) runTracker.recordFailure('notSent', false);
  return runTracker;
};

const ran = createRunTracker(2, 1);
const notRun = createRunTracker(2, 2);
const id = 'request-1';

type Check = () => void;

describe('assertions', () => {
  it.each<[code: number, passing: Check, failing: Check]>([
    [
      9001,
      () => assertions.assertFinalAnswerOnce(id, false),
      () => assertions.assertFinalAnswerOnce(id, true),
    ],
    [
      9002,
      () => assertions.assertRunsAtMostOnce(id, notRun),
      () => assertions.assertRunsAtMostOnce(id, ran),
    ],
    [
      9003,
      () => assertions.assertClaimedBeforeSend(id, true),
      () => assertions.assertClaimedBeforeSend(id, false),
    ],
    [
      9004,
      () => assertions.assertRefusalIsTrue(id, 'unknown', ran),
      () => assertions.assertRefusalIsTrue(id, 'no', ran),
    ],
    [
      9005,
      () => assertions.assertAnswerIsWhole(id, 3, 3),
      () => assertions.assertAnswerIsWhole(id, 2, 3),
    ],
    [
      9006,
      () => assertions.assertWithinDeadline(id, 9, 10),
      () => assertions.assertWithinDeadline(id, 10, 10),
    ],
    [
      9007,
      () => assertions.assertOwnAnswer(id, 'attempt-1', 'attempt-1'),
      () => assertions.assertOwnAnswer(id, 'attempt-1', 'attempt-2'),
    ],
    [
      9008,
      () => assertions.assertRetryIsBudgeted(id, 1, 1),
      () => assertions.assertRetryIsBudgeted(id, 1, 0),
    ],
  ])('%i throws only where the guarantee is broken', (code, passing, failing) => {
    expect(passing).not.toThrow();
    expect(failing).toThrow(expect.objectContaining({ code, name: 'InvariantViolation' }));
  });

  it('count an attempt as run if its response began, whatever its failure', () => {
    const runTracker = createRunTracker(1, 0);
    runTracker.recordFailure('rejected', true);
    expect(runTracker.mayHaveRun).toBe(true);
  });
});
