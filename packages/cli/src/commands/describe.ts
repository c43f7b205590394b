import type { NodeStatus, RequestView } from '@savorywind/decisions';
import { Err, Ok, type HistoryRow, type Result } from '@savorywind/model';
import type { CommandFailure, EntryClient } from '../client/entry-client.js';
import { exitCodes } from '../exit-codes.js';
import type { CommandResult } from './types.js';

const MS_PER_S = 1_000;

const formatSeconds = (ms: number | undefined): string =>
  ms === undefined ? 'unknown' : `${(ms / MS_PER_S).toFixed(1)} s`;

const formatVersion = ({
  version,
  committedAtMs,
  author,
  changeId,
  summary,
}: HistoryRow): string[] => [
  `${version}  ${new Date(committedAtMs).toISOString()}  ${author}  ${changeId}`,
  ...summary.map((line) => `    ${line}`),
];

/** Lists the committed versions with author, time and changes, newest first. */
export const listHistory = async (client: EntryClient, limit: number): Promise<CommandResult> => {
  const read = await client.read<{ readonly versions: readonly HistoryRow[] }>(
    `/v1/history?limit=${limit}`,
  );
  if (read.err) return read;
  return Ok({ json: read.val, lines: read.val.versions.flatMap(formatVersion) });
};

const formatStatus = (status: NodeStatus): string[] => {
  const { vm, readiness, configurationVersion, configurationAgeMs, requests } = status;
  const age = `confirmed ${formatSeconds(configurationAgeMs)} ago`;
  return [
    `${vm.id}  ${vm.failureDomain}  ${readiness}  version ${configurationVersion}, ${age}  ${requests.length} requests`,
  ];
};

/**
 * Reads the status of all reachable entry VMs. If none returns one, tries them again one by one and
 * fails with the last failure.
 */
const readStatuses = async (
  client: EntryClient,
): Promise<Result<readonly NodeStatus[], CommandFailure>> => {
  const statuses = await client.listStatuses();
  if (statuses.length > 0) return Ok(statuses);
  const read = await client.read<NodeStatus>('/v1/status');
  return read.map((status) => [status]);
};

/** Lists entry VMs that others report as live and that did not return their own status. */
const listUnreachedVms = (statuses: readonly NodeStatus[]): string[] => {
  const reached = new Set(statuses.map(({ vm }) => vm.id));
  const live = statuses.flatMap(({ configurationVersions }) =>
    configurationVersions.map(({ vm }) => vm),
  );
  return [...new Set(live)].filter((vm) => !reached.has(vm)).sort();
};

/** Shows the status of each reachable entry VM, and lists live ones that did not return theirs. */
export const describeStatus = async (client: EntryClient): Promise<CommandResult> => {
  const read = await readStatuses(client);
  if (read.err) return read;
  const statuses = read.val;
  const unreached = listUnreachedVms(statuses);
  const unreachedLines =
    unreached.length === 0 ? [] : [`live, but not queried: ${unreached.join(', ')}`];
  const entryVms = statuses.map(({ requests, ...rest }) => ({
    ...rest,
    requests: requests.length,
  }));
  return Ok({
    json: { entryVms, unreached },
    lines: [...statuses.flatMap(formatStatus), ...unreachedLines],
  });
};

const formatRequest = (entryVm: string, request: RequestView): string => {
  const { requestId, team, target, state, endpoint, ageMs, timeoutMs } = request;
  const left = formatSeconds(timeoutMs - ageMs);
  return `${requestId}  ${team}  ${target}  ${state}  ${endpoint ?? '-'}  ${formatSeconds(ageMs)}, ${left} left  ${entryVm}`;
};

/** Lists the requests in progress with team, target, endpoint and age, oldest first. */
export const listRequests = async (client: EntryClient): Promise<CommandResult> => {
  const read = await readStatuses(client);
  if (read.err) return read;
  const statuses = read.val;
  const requests = statuses
    .flatMap(({ vm, requests: vmRequests }) =>
      vmRequests.map((request) => ({ entryVm: vm.id, ...request })),
    )
    .sort((a, b) => b.ageMs - a.ageMs);
  const lines = requests.map((request) => formatRequest(request.entryVm, request));
  return Ok({
    json: { requests },
    lines: lines.length === 0 ? ['no requests in progress'] : lines,
  });
};

/** Drains one entry VM: it refuses new requests and stops when the admitted ones have ended. */
export const drainEntryVm = async (client: EntryClient): Promise<CommandResult> => {
  const [entry, ...others] = client.entryUrls;
  if (entry === undefined || others.length > 0) {
    return Err({
      exitCode: exitCodes.usage,
      message: 'Drain takes exactly one entry VM.',
      hint: 'Use one --entry http://HOST:PORT.',
    });
  }
  const drained = await client.drain(entry);
  if (drained.err) return drained;
  return Ok({ json: { draining: true }, lines: [`${entry.host}: leaving`] });
};
