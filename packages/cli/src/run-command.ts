import { buildDeclarationsSchema } from '@savorywind/model';
import yargs, { type Argv } from 'yargs';
import { createEntryClient, type CommandFailure, type EntryClient } from './client/entry-client.js';
import { applyDeclarations } from './commands/apply.js';
import { checkAdapterSettings } from './commands/check-settings.js';
import { checkDeclarations } from './commands/check.js';
import { describePlan } from './commands/plan.js';
import { changePreset } from './commands/change-preset.js';
import { describeRequest } from './commands/explain.js';
import { applyVersion } from './commands/apply-version.js';
import { drainEntryVm, listHistory, listRequests, describeStatus } from './commands/describe.js';
import type { CommandResult } from './commands/types.js';
import { exitCodes, type ExitCode } from './exit-codes.js';
import type { CommandIo, CommonOptions, RemoteOptions } from './types.js';

const DEFAULT_HISTORY_LENGTH = 20;

const reportFailure = (io: CommandIo, failure: CommandFailure, json: boolean): ExitCode => {
  const { exitCode, message, hint, code } = failure;
  if (json) io.writeOut(JSON.stringify({ error: failure }));
  else io.writeErr(`${code === undefined ? '' : `${code}: `}${message}\n${hint}`);
  return exitCode;
};

const reportResult = (io: CommandIo, result: CommandResult, json: boolean): ExitCode => {
  if (result.err) return reportFailure(io, result.val, json);
  const { json: value, lines, exitCode = exitCodes.done } = result.val;
  if (json) io.writeOut(JSON.stringify(value));
  else lines.forEach((line) => io.writeOut(line));
  return exitCode;
};

const addRemote = <T>(command: Argv<T>) =>
  command
    .option('entry', {
      type: 'string',
      array: true,
      describe: 'operators address of an entry VM, as http://HOST:PORT; or SAVORYWIND_ENTRY',
    })
    .option('credential-file', {
      type: 'string',
      describe: 'file with the credential; or SAVORYWIND_CREDENTIAL',
    });

const addCommit = <T>(command: Argv<T>) =>
  addRemote(command)
    .option('wait', {
      type: 'number',
      describe: 'seconds to wait until every live entry VM has the version',
    })
    .option('change-id', {
      type: 'string',
      describe: 'name of the change; give the same one again after a lost answer',
    })
    .option('base', {
      type: 'number',
      describe: 'fail unless this version is in force; give the same one again after a lost answer',
    });

const DECLARATIONS = {
  type: 'string',
  demandOption: true,
  describe: 'folder of JSON files, or one file',
} as const;

/**
 * Runs one command line.
 *
 * @example
 * const exitCode = await runCommand(['check', 'examples/stuhlwerk'], io);
 */
export const runCommand = async (args: readonly string[], io: CommandIo): Promise<ExitCode> => {
  let exitCode: ExitCode = exitCodes.done;

  const report = ({ json }: CommonOptions, result: CommandResult): void => {
    exitCode = reportResult(io, result, json);
  };
  const callEntryVms = async (
    options: RemoteOptions,
    run: (client: EntryClient) => Promise<CommandResult>,
  ): Promise<void> => {
    const client = createEntryClient(io, options);
    report(options, client.err ? client : await run(client.val));
  };

  await yargs([...args])
    .scriptName('savorywind')
    .exitProcess(false)
    .option('json', { type: 'boolean', default: false, describe: 'print one JSON object' })
    .command(
      'check <declarations>',
      'check declarations without talking to anybody',
      (command) =>
        command
          .positional('declarations', DECLARATIONS)
          .option('adapter', {
            type: 'string',
            describe: 'module of a platform whose settings file is checked instead',
          })
          .example('$0 check examples/stuhlwerk', 'name each fault with file, path and remedy')
          .example(
            '$0 check settings.toml --adapter @savorywind/platform',
            'a settings file in the format of a platform',
          ),
      async ({ declarations, adapter, json }) => {
        const result =
          adapter === undefined
            ? checkDeclarations(declarations)
            : await checkAdapterSettings(declarations, adapter);
        report({ json }, result);
      },
    )
    .command(
      'schema',
      'print the JSON Schema of declarations',
      (command) => command.example('$0 schema > declarations.schema.json', 'for an editor'),
      () => {
        const schema = buildDeclarationsSchema();
        io.writeOut(JSON.stringify(schema, undefined, 2));
      },
    )
    .command(
      'plan <declarations>',
      'show what apply would change, and on which version',
      (command) =>
        addRemote(command)
          .positional('declarations', DECLARATIONS)
          .example('$0 plan examples/stuhlwerk', 'compare with what is in force'),
      (options) => callEntryVms(options, (client) => describePlan(client, options.declarations)),
    )
    .command(
      'apply <declarations>',
      'commit declarations as the next version',
      (command) =>
        addCommit(command)
          .positional('declarations', DECLARATIONS)
          .example('$0 apply examples/stuhlwerk --base 7 --wait 9', 'only on version 7'),
      (options) =>
        callEntryVms(options, (client) =>
          applyDeclarations(client, io, { ...options, place: options.declarations }),
        ),
    )
    .command('preset', 'presets', (preset) =>
      preset
        .command(
          'switch <preset>',
          'put another preset in force',
          (command) =>
            addCommit(command)
              .positional('preset', { type: 'string', demandOption: true })
              .example('$0 preset switch peak --wait 9', 'and wait until every entry VM has it'),
          (options) =>
            callEntryVms(options, (client) => changePreset(client, io, options.preset, options)),
        )
        .demandCommand(1),
    )
    .command(
      'rollback <to>',
      'commit an earlier version once more, as the next version',
      (command) =>
        addCommit(command)
          .positional('to', { type: 'number', demandOption: true, describe: 'a version' })
          .example('$0 rollback 6 --wait 9', 'version 9 gets the content of version 6'),
      (options) => callEntryVms(options, (client) => applyVersion(client, io, options.to, options)),
    )
    .command(
      'history',
      'list who changed what and when, newest first',
      (command) =>
        addRemote(command)
          .option('limit', { type: 'number', default: DEFAULT_HISTORY_LENGTH })
          .example('$0 history --limit 5', 'the last five versions'),
      (options) => callEntryVms(options, (client) => listHistory(client, options.limit)),
    )
    .command(
      'status',
      'show readiness and version of each entry VM named',
      (command) => addRemote(command).example('$0 status --json', 'for a script'),
      (options) => callEntryVms(options, describeStatus),
    )
    .command(
      'requests',
      'list what runs now, for whom, how long and where',
      (command) => addRemote(command).example('$0 requests', 'the oldest first'),
      (options) => callEntryVms(options, listRequests),
    )
    .command(
      'drain',
      'let one entry VM finish what it admitted, and stop',
      (command) =>
        addRemote(command).example('$0 drain --entry http://10.0.0.7:9300', 'exactly one'),
      (options) => callEntryVms(options, drainEntryVm),
    )
    .command(
      'explain <request> [logs..]',
      'tell the story of one request from the logs of entry VMs',
      (command) =>
        command
          .positional('request', {
            type: 'string',
            demandOption: true,
            describe: 'the id that the caller gave',
          })
          .positional('logs', {
            type: 'string',
            array: true,
            default: ['-'],
            describe: 'log files; - for standard input',
          })
          .example('$0 explain 9c41d07be2a35f68 entry-1.log entry-2.log', 'in order of time'),
      (options) => report(options, describeRequest(options.request, options.logs)),
    )
    .demandCommand(1)
    .strict()
    .fail((message, fault, parser) => {
      if (fault) throw fault;
      io.writeErr(`${message}\nRun savorywind --help.`);
      exitCode = exitCodes.usage;
      return parser;
    })
    .parseAsync();
  return exitCode;
};
