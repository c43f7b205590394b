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

const addRemoteOptions = <T>(command: Argv<T>) =>
  command
    .option('entry', {
      type: 'string',
      array: true,
      describe: "address of an entry VM's operator API, as http://HOST:PORT; or SAVORYWIND_ENTRY",
    })
    .option('credential-file', {
      type: 'string',
      describe: 'file that contains the credential; or SAVORYWIND_CREDENTIAL',
    });

const addCommitOptions = <T>(command: Argv<T>) =>
  addRemoteOptions(command)
    .option('wait', {
      type: 'number',
      describe: 'seconds to wait until the version is in force on all live entry VMs',
    })
    .option('change-id', {
      type: 'string',
      describe: 'id of the change; use the same one to retry after a lost response',
    })
    .option('base', {
      type: 'number',
      describe:
        'fail unless this version is in force; use the same one to retry after a lost response',
    });

const DECLARATIONS_ARGUMENT = {
  type: 'string',
  demandOption: true,
  describe: 'directory of JSON files, or one file',
} as const;

/**
 * Parses the arguments and runs the command.
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
      'check declarations without contacting an entry VM',
      (command) =>
        command
          .positional('declarations', DECLARATIONS_ARGUMENT)
          .option('adapter', {
            type: 'string',
            describe:
              'module of a platform adapter; checks a settings file of that platform instead',
          })
          .example('$0 check examples/stuhlwerk', 'list each fault with file, path and remedy')
          .example(
            '$0 check settings.toml --adapter @savorywind/platform',
            'check a settings file of a platform',
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
      (command) =>
        command.example(
          '$0 schema > declarations.schema.json',
          'create a schema file for an editor',
        ),
      () => {
        const schema = buildDeclarationsSchema();
        io.writeOut(JSON.stringify(schema, undefined, 2));
      },
    )
    .command(
      'plan <declarations>',
      'show what apply would change, and the version it is based on',
      (command) =>
        addRemoteOptions(command)
          .positional('declarations', DECLARATIONS_ARGUMENT)
          .example('$0 plan examples/stuhlwerk', 'compare with the configuration in force'),
      (options) => callEntryVms(options, (client) => describePlan(client, options.declarations)),
    )
    .command(
      'apply <declarations>',
      'commit declarations as the next version',
      (command) =>
        addCommitOptions(command)
          .positional('declarations', DECLARATIONS_ARGUMENT)
          .example(
            '$0 apply examples/stuhlwerk --base 7 --wait 9',
            'only if version 7 is in force',
          ),
      (options) =>
        callEntryVms(options, (client) =>
          applyDeclarations(client, io, { ...options, path: options.declarations }),
        ),
    )
    .command('preset', 'manage presets', (preset) =>
      preset
        .command(
          'switch <preset>',
          'commit another preset as the one in force',
          (command) =>
            addCommitOptions(command)
              .positional('preset', { type: 'string', demandOption: true })
              .example(
                '$0 preset switch peak --wait 9',
                'wait until it is in force on all entry VMs',
              ),
          (options) =>
            callEntryVms(options, (client) => changePreset(client, io, options.preset, options)),
        )
        .demandCommand(1),
    )
    .command(
      'rollback <to>',
      'commit the content of an earlier version as the next version',
      (command) =>
        addCommitOptions(command)
          .positional('to', {
            type: 'number',
            demandOption: true,
            describe: 'number of the earlier version',
          })
          .example('$0 rollback 6 --wait 9', 'commit the content of version 6'),
      (options) => callEntryVms(options, (client) => applyVersion(client, io, options.to, options)),
    )
    .command(
      'history',
      'list versions with author, time and changes, newest first',
      (command) =>
        addRemoteOptions(command)
          .option('limit', { type: 'number', default: DEFAULT_HISTORY_LENGTH })
          .example('$0 history --limit 5', 'list the last five versions'),
      (options) => callEntryVms(options, (client) => listHistory(client, options.limit)),
    )
    .command(
      'status',
      'show readiness and configuration version of each entry VM',
      (command) =>
        addRemoteOptions(command).example('$0 status --json', 'print the status as JSON'),
      (options) => callEntryVms(options, describeStatus),
    )
    .command(
      'requests',
      'list requests in progress with team, age and endpoint',
      (command) =>
        addRemoteOptions(command).example('$0 requests', 'list the oldest requests first'),
      (options) => callEntryVms(options, listRequests),
    )
    .command(
      'drain',
      'let one entry VM finish its admitted requests, and stop',
      (command) =>
        addRemoteOptions(command).example(
          '$0 drain --entry http://10.0.0.7:9300',
          'drain one entry VM; takes exactly one --entry',
        ),
      (options) => callEntryVms(options, drainEntryVm),
    )
    .command(
      'explain <request> [logs..]',
      'show the log lines of one request, with events of the entry VMs that handled it',
      (command) =>
        command
          .positional('request', {
            type: 'string',
            demandOption: true,
            describe: 'id that the caller sent with the request',
          })
          .positional('logs', {
            type: 'string',
            array: true,
            default: ['-'],
            describe: 'log files; - reads standard input',
          })
          .example(
            '$0 explain 9c41d07be2a35f68 entry-1.log entry-2.log',
            'show the lines in order of time',
          ),
      (options) => report(options, describeRequest(options.request, options.logs)),
    )
    .demandCommand(1)
    .strict()
    .fail((message, error, parser) => {
      if (error) throw error;
      io.writeErr(`${message}\nRun savorywind --help.`);
      exitCode = exitCodes.usage;
      return parser;
    })
    .parseAsync();
  return exitCode;
};
