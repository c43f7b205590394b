/** Code of each invariant, as listed in docs/design/request-life-cycle.md. */
export const invariantCodes = {
  finalAnswerOnce: 9001,
  runsAtMostOnce: 9002,
  claimedBeforeSend: 9003,
  refusalIsTrue: 9004,
  answerIsWhole: 9005,
  withinDeadline: 9006,
  ownAnswer: 9007,
  retryIsBudgeted: 9008,
} as const;

export type Invariant = keyof typeof invariantCodes;
