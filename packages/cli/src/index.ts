export { loadDeclarations, type DeclarationFault } from './declarations/load-declarations.js';
export { exitCodes, type ExitCode } from './exit-codes.js';
export { runCommand } from './run-command.js';
export type { CommandIo } from './types.js';
