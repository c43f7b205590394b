import type { EndpointChange, EvacuationChange } from '@savorywind/decisions';
import type { Containment } from '../../runtime/containment.js';
import type { DispatchGatewayEvent, GatewayRows } from '../types.js';
import type { TableUpdate } from './table-watcher.js';
import type { TableRow } from './types.js';

export interface StoreUpdatesOptions {
  readonly rows: GatewayRows;
  readonly containment: Containment;
  readonly dispatch: DispatchGatewayEvent;
  /** Time of the elapsed clock, in milliseconds. */
  readonly readClockMs: () => number;
  /** Called with the key of each row that can't be decoded and is ignored. */
  readonly onUndecodable: (key: string) => void;
  /** Called with what is wrong with each part of a configuration that is refused. */
  readonly onPartRefused: (detail: string) => void;
}

/** Converts what the watchers of the store's tables read to events of the decisions. */
export class StoreUpdates {
  constructor(private readonly options: StoreUpdatesOptions) {}

  handleConfiguration(update: TableUpdate): void {
    const requestedAtMs = this.convertToMonotonic(update.requestedAtMs);
    const { rows, dispatch, onPartRefused } = this.options;
    if (update.kind === 'failed') {
      dispatch({ kind: 'store.failed', detail: update.detail, requestedAtMs });
      return;
    }
    const row = update.rows.findLast(
      ({ key, removed }) => key === rows.configurationKey && !removed,
    );
    const configuration =
      row === undefined
        ? undefined
        : this.decode(row, (one) => rows.decodeConfiguration(one, onPartRefused));
    const source = update.kind === 'changes' ? 'change' : 'snapshot';
    const changes = this.listEvacuations(update.rows);
    // What may not be used is known before the first request can be placed.
    dispatch({ kind: 'evacuations.read', source, changes, requestedAtMs });
    dispatch({ kind: 'configuration.confirmed', requestedAtMs, configuration, source });
  }

  handleEndpoints(update: TableUpdate): void {
    const requestedAtMs = this.convertToMonotonic(update.requestedAtMs);
    const { rows, dispatch } = this.options;
    if (update.kind === 'failed') {
      dispatch({ kind: 'store.failed', detail: update.detail, requestedAtMs });
      return;
    }
    const changes: EndpointChange[] = update.rows.map((row) => ({
      id: row.key,
      endpoint: row.removed ? undefined : this.decode(row, (one) => rows.decodeEndpoint(one)),
    }));
    if (update.kind === 'changes') {
      dispatch({ kind: 'endpoints.changed', changes, requestedAtMs });
      return;
    }
    const endpoints = changes.flatMap(({ endpoint }) => endpoint ?? []);
    dispatch({ kind: 'endpoints.read', endpoints, requestedAtMs });
  }

  private listEvacuations(rows: readonly TableRow[]): EvacuationChange[] {
    return rows.flatMap((row) => {
      const domain = this.options.rows.decodeEvacuatedDomain(row);
      return domain === undefined ? [] : [{ domain, isEvacuated: !row.removed }];
    });
  }

  /** A row that a decoder can't take says nothing of the other rows. */
  private decode<Value>(
    row: TableRow,
    decodeRow: (row: TableRow) => Value | undefined,
  ): Value | undefined {
    const { containment, onUndecodable } = this.options;
    let value: Value | undefined;
    containment.run({ work: 'row.decode', owner: 'store', ownerId: row.key }, () => {
      value = decodeRow(row);
    });
    if (value === undefined) onUndecodable(row.key);
    return value;
  }

  /**
   * Converts a time of the elapsed clock to the monotonic clock, moved back by suspensions since then, so
   * that they count towards the age of what was read.
   */
  private convertToMonotonic(elapsedMs: number): number {
    return performance.now() - (this.options.readClockMs() - elapsedMs);
  }
}
