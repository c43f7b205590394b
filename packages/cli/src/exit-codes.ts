/** Exit codes of the command, documented in docs/operators/command-line.md. */
export const exitCodes = {
  done: 0,
  usage: 1,
  invalidDeclarations: 2,
  serializationFailure: 3,
  notCommitted: 4,
  outcomeUnknown: 5,
  notInForceEverywhere: 6,
  noEntryVm: 7,
  refused: 8,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
