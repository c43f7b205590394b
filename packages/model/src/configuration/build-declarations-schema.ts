import * as z from 'zod';
import { declarationsSchema } from './schema.js';

/**
 * Builds the JSON Schema of a file of declarations. docs/schema/declarations.schema.json is checked
 * against it.
 *
 * @example
 * process.stdout.write(JSON.stringify(buildDeclarationsSchema(), undefined, 2));
 */
export const buildDeclarationsSchema = (): object =>
  z.toJSONSchema(declarationsSchema, { io: 'input' });
