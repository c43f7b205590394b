import { readBody, sendJson, startRouteServer, type RunningServer } from '../http/route-server.js';

/** Settings of the service stand-in; port 0 selects a free port. */
export interface ServiceSettings {
  readonly port: number;
  readonly name: string;
}

/** Starts a plain service that counts how often each booking was executed. */
export const startService = (settings: ServiceSettings): Promise<RunningServer> => {
  const runs = new Map<string, number>();
  return startRouteServer(
    {
      'POST /bookings': async (request, response) => {
        const body = JSON.parse(await readBody(request)) as { id: string };
        const count = (runs.get(body.id) ?? 0) + 1;
        runs.set(body.id, count);
        sendJson(response, 201, { service: settings.name, booking: body.id, run: count });
      },
      'GET /bookings/*': (_request, response, id) =>
        sendJson(response, 200, { booking: id, runs: runs.get(id) ?? 0 }),
    },
    settings.port,
  );
};
