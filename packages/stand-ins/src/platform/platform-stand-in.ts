import type { EndpointEntry, MembershipEntry, TableOperation } from '@savorywind/model';
import { readBody, sendJson, startRouteServer, type RunningServer } from '../http/route-server.js';
import { TableStore } from './table-store.js';

/** Settings of the platform stand-in; port 0 selects a free port. */
export interface PlatformSettings {
  readonly port: number;
  readonly membership?: readonly MembershipEntry[];
  readonly endpoints?: readonly EndpointEntry[];
}

interface MembershipState {
  readonly entries: readonly MembershipEntry[];
  readonly endpoints?: readonly EndpointEntry[];
}

/**
 * Starts a platform with a table service and a membership list, both in memory. Tests replace the
 * list with `PUT /control/membership`.
 *
 * @example
 * const platform = await startPlatform({ port: 0 });
 */
export const startPlatform = (settings: PlatformSettings): Promise<RunningServer> => {
  const store = new TableStore();
  let membership: MembershipState = {
    entries: settings.membership ?? [],
    endpoints: settings.endpoints ?? [],
  };
  return startRouteServer(
    {
      'POST /v1/tables': async (request, response) => {
        const { operations } = JSON.parse(await readBody(request)) as {
          operations: TableOperation[];
        };
        sendJson(response, 200, { outcomes: store.apply(operations) });
      },
      'GET /v1/membership': (_request, response) => sendJson(response, 200, membership),
      'PUT /control/membership': async (request, response) => {
        membership = JSON.parse(await readBody(request)) as MembershipState;
        sendJson(response, 200, {});
      },
    },
    settings.port,
  );
};
