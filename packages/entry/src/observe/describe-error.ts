/** Longest code of an error, in characters. */
const MAX_CODE_CHARS = 64;

/** Longest error message, in characters. */
const MAX_DETAIL_CHARS = 1_024;

/** Longest stack, in characters. */
const MAX_STACK_CHARS = 4_096;

/** What is known of an error, as texts of bounded length. */
export interface ErrorDescription {
  readonly code: string | undefined;
  readonly detail: string;
  readonly stack: string | undefined;
}

/**
 * Describes whatever was thrown, also objects whose properties throw when they are read.
 *
 * @example
 * describeError(new RangeError('bad port')).detail; // 'bad port'
 */
export const describeError = (error: unknown): ErrorDescription => {
  try {
    const { code, message, stack } = error instanceof Error ? (error as NodeJS.ErrnoException) : {};
    return {
      code: code === undefined ? undefined : String(code).slice(0, MAX_CODE_CHARS),
      detail: (message ?? String(error)).slice(0, MAX_DETAIL_CHARS),
      stack: stack === undefined ? undefined : String(stack).slice(0, MAX_STACK_CHARS),
    };
  } catch {
    return { code: undefined, detail: 'an error that cannot be shown', stack: undefined };
  }
};
