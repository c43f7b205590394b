import { describe, expect, it } from 'vitest';
import * as promises from '../../src/invariants/promises.js';
import { RunEvidence } from '../../src/invariants/run-evidence.js';

const createEvidence = (starts: number, provenNotRun: number): RunEvidence => {
  const evidence = new RunEvidence();
  for (let count = 0; count < starts; count += 1) evidence.recordStart();
  for (let count = 0; count < provenNotRun; count += 1) evidence.recordFailure('notSent', false);
  return evidence;
};

const ran = createEvidence(2, 1);
const notRun = createEvidence(2, 2);
const id = 'request-1';

type Check = () => void;

describe('promises', () => {
  it.each<[code: number, holds: Check, broken: Check]>([
    [
      9001,
      () => promises.assertFinalAnswerOnce(id, false),
      () => promises.assertFinalAnswerOnce(id, true),
    ],
    [
      9002,
      () => promises.assertRunsAtMostOnce(id, notRun),
      () => promises.assertRunsAtMostOnce(id, ran),
    ],
    [
      9003,
      () => promises.assertClaimedBeforeSend(id, true),
      () => promises.assertClaimedBeforeSend(id, false),
    ],
    [
      9004,
      () => promises.assertRefusalIsTrue(id, 'unknown', ran),
      () => promises.assertRefusalIsTrue(id, 'no', ran),
    ],
    [
      9005,
      () => promises.assertAnswerIsWhole(id, 3, 3),
      () => promises.assertAnswerIsWhole(id, 2, 3),
    ],
    [
      9006,
      () => promises.assertWithinDeadline(id, 9, 10),
      () => promises.assertWithinDeadline(id, 10, 10),
    ],
    [
      9007,
      () => promises.assertOwnAnswer(id, 'attempt-1', 'attempt-1'),
      () => promises.assertOwnAnswer(id, 'attempt-1', 'attempt-2'),
    ],
    [
      9008,
      () => promises.assertRetryIsBudgeted(id, 1, 1),
      () => promises.assertRetryIsBudgeted(id, 1, 0),
    ],
  ])('%i throws only where the promise is broken', (code, holds, broken) => {
    expect(holds).not.toThrow();
    expect(broken).toThrow(expect.objectContaining({ code, name: 'InvariantViolation' }));
  });

  it('take an attempt for run that began to answer, whatever its failure', () => {
    const evidence = createEvidence(1, 0);
    evidence.recordFailure('rejected', true);
    expect(evidence.mayHaveRun).toBe(true);
  });
});
