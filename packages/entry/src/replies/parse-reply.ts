import type { z } from 'zod';

/**
 * Parses and validates a JSON reply of another process. An invalid reply never throws, because it
 * must not end this process.
 *
 * @example
 * const load = parseReply(text, loadSchema);
 * if (load === undefined) resolve(Err('unanswered'));
 *
 * @returns undefined if the text is not JSON or does not match the schema
 */
export const parseReply = <Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): z.output<Schema> | undefined => {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};
