import type { z } from 'zod';

/**
 * Reads a JSON reply of another process. Replies come from outside: one that is no JSON, or has
 * another shape, must not end this process.
 *
 * @example
 * const load = parseReply(text, loadSchema);
 * if (load === undefined) resolve(Err('unanswered'));
 *
 * @returns undefined where the text is not what the schema says
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
