import { createGatewayContract } from '@savorywind/stand-ins';
import { describe, expect, it } from 'vitest';
import { createConfiguration, createEndpoint, GatewayDriver } from '../fixtures/gateway-driver.js';

/** Guards against LEAK: memory stayed reserved on helpers of an engine that had gone dark. */

const HUGE = { promptTokens: 700_000, waitsMs: 15_000 };
const STEP_MS = 50;
/** Time until a probe has failed. */
const MAX_PROBE_MS = 400;

const ENGINES = Array.from({ length: 12 }, (_, index) => `e${index + 1}`);

/** Time after which an engine ends the work that depends on one that is dark. */
const ENGINE_STALL_MS = 1_500;

interface Run {
  readonly driver: GatewayDriver;
  readonly id: string;
}

/** Grants the reservations that were asked for one after the other. */
const answerReservations = (driver: GatewayDriver): void => {
  for (;;) {
    const before = driver.list('reservation.ask').length;
    const { reservationId } = driver.list('reservation.ask').at(-1)!;
    driver.dispatch({ kind: 'reservation.answered', reservationId, outcome: 'reserved' });
    if (driver.list('reservation.ask').length === before) return;
  }
};

const startJointPrefill = (isResumable: boolean): Run => {
  const driver = new GatewayDriver();
  const { routes, ...others } = createConfiguration();
  const changed = routes.map((route) => ({ ...route, resumable: isResumable }));
  driver.start(
    ENGINES.map((id) => createEndpoint(id)),
    { ...others, routes: changed },
  );
  const id = driver.request('/review/', HUGE);
  answerReservations(driver);
  return { driver, id };
};

/** Advances the clock, and answers probes after their timeout, or at once if they connect. */
const advance = ({ driver }: Run, ms: number, dark: string | undefined): void => {
  const due: { atMs: number; id: string }[] = [];
  let seen = driver.list('path.probe').length;
  const endMs = driver.nowMs + ms;
  while (driver.nowMs < endMs) {
    driver.advance(STEP_MS);
    const probes = driver.list('path.probe');
    probes.slice(seen).forEach(({ endpoint, timeoutMs }) => {
      const delayMs = endpoint.id === dark ? timeoutMs : 0;
      due.push({ atMs: driver.nowMs + delayMs, id: endpoint.id });
    });
    seen = probes.length;
    due
      .splice(0)
      .filter(({ atMs, id }) => {
        if (atMs > driver.nowMs) return true;
        const outcome = id === dark ? 'failed' : 'connected';
        driver.dispatch({ kind: 'path.probed', endpoint: id, outcome });
        return false;
      })
      .forEach((item) => due.push(item));
  }
};

const isReleased = (driver: GatewayDriver, reservation: string): boolean =>
  driver.list('reservation.release').some(({ reservationId }) => reservationId === reservation);

describe('memory reserved for an engine that goes dark (LEAK)', () => {
  const { reservationReleaseMs } = createGatewayContract();
  const boundMs = ENGINE_STALL_MS + reservationReleaseMs;

  it('is released in time, and the request goes to another engine', () => {
    const run = startJointPrefill(true);
    const { driver, id } = run;
    const { reservationId } = driver.list('reservation.ask')[0]!;
    const dark = driver.findAttempt(id)!.endpoint.id;
    advance(run, boundMs, dark);
    expect(isReleased(driver, reservationId)).toBe(true);
    answerReservations(driver);
    expect(driver.findAttempt(id)!.endpoint.id).not.toBe(dark);
  });

  it('is released after two probes that fail, although the registration lapses between them', () => {
    const run = startJointPrefill(true);
    const { driver, id } = run;
    const { reservationId, holdMs } = driver.list('reservation.ask')[0]!;
    const dark = driver.findAttempt(id)!.endpoint.id;
    const probeIntervalMs = holdMs / 3;
    const betweenMs = probeIntervalMs + MAX_PROBE_MS;
    advance(run, betweenMs, dark);
    const changes = [{ id: dark, endpoint: undefined }];
    driver.dispatch({ kind: 'endpoints.changed', changes });
    advance(run, 2 * probeIntervalMs + MAX_PROBE_MS - betweenMs, dark);
    expect(isReleased(driver, reservationId)).toBe(true);
  });

  it('expires in time if the request may not run again', () => {
    const run = startJointPrefill(false);
    const { driver, id } = run;
    const { holdMs } = driver.list('reservation.ask')[0]!;
    const dark = driver.findAttempt(id)!.endpoint.id;
    advance(run, boundMs - holdMs, dark);
    const before = driver.list('reservation.ask').length;
    advance(run, 4_000, dark);
    expect(driver.list('reservation.ask')).toHaveLength(before);
  });

  it('is kept while the engine can be connected to, however long it is silent', () => {
    const run = startJointPrefill(true);
    const { driver } = run;
    advance(run, 5_000, undefined);
    expect(driver.list('reservation.release')).toEqual([]);
    expect(driver.list('reservation.ask').length).toBeGreaterThanOrEqual(5);
  });

  it('is renewed again if a cut was short', () => {
    const run = startJointPrefill(false);
    const { driver, id } = run;
    const dark = driver.findAttempt(id)!.endpoint.id;
    advance(run, 2_600, dark);
    const before = driver.list('reservation.ask').length;
    advance(run, 2_000, undefined);
    expect(driver.list('reservation.ask').length).toBeGreaterThan(before);
  });
});
