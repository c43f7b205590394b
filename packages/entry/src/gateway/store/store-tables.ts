import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import type { GatewayEvent, TableReadTimings, TableSource } from '@savorywind/decisions';
import type { Containment } from '../../runtime/containment.js';
import type { StoreEra } from './store-era.js';
import { TableFeedClient } from './table-feed-client.js';
import type { TableFeedContent } from './table-feed-messages.js';
import { TableFeedServer } from './table-feed-server.js';
import { TableMirror } from './table-mirror.js';
import { TableWatcher, type TableUpdate } from './table-watcher.js';
import type { TableClient } from './types.js';

export interface StoreTablesOptions {
  readonly tables: TableClient;
  /** Address of this entry VM, by which peers know it; any if this is missing. */
  readonly localHost?: string;
  /** Names of the tables. */
  readonly names: { readonly configuration: string; readonly endpoints: string };
  readonly timings: TableReadTimings;
  readonly era: StoreEra;
  readonly readClockMs: () => number;
  readonly onConfigurationUpdated: (update: TableUpdate) => void;
  readonly onEndpointsUpdated: (update: TableUpdate) => void;
  readonly dispatch: (event: GatewayEvent) => void;
  readonly containment: Containment;
}

/** Age of what is known of one table, in milliseconds; undefined before the first read. */
export interface TableAge {
  readonly table: string;
  readonly ageMs: number | undefined;
}

/** Fraction of the reading interval from which a confirmation is renewed: another read may have done so. */
const MIN_AGE_FRACTION = 0.5;

/** One table: its rows, its reads of the store, and who is told. */
interface WatchedTable {
  readonly mirror: TableMirror;
  readonly watcher: TableWatcher;
  readonly onUpdated: (update: TableUpdate) => void;
}

/**
 * The tables that this entry VM follows: it reads them from the store, or from a peer that reads the store
 * for the failure domain, and passes them on to peers itself if that is its role. Both ways go on from the
 * same position, so that nothing is read twice when they change.
 */
export class StoreTables {
  /** The configuration, and the registrations of endpoints. */
  private readonly watched: readonly [WatchedTable, WatchedTable];

  private readonly server: TableFeedServer;

  private readonly client: TableFeedClient;

  private current: TableSource = { peer: undefined, role: 'none' };

  private serveTimer: NodeJS.Timeout | undefined;

  private isReadingStore = true;

  constructor(private readonly options: StoreTablesOptions) {
    const { names, timings } = options;
    this.watched = [
      this.createWatched(
        names.configuration,
        timings.configuration,
        options.onConfigurationUpdated,
      ),
      this.createWatched(names.endpoints, timings.endpoints, options.onEndpointsUpdated),
    ];
    const mirrors = this.watched.map(({ mirror }) => mirror);
    const { readClockMs, dispatch, containment } = options;
    this.server = new TableFeedServer({
      mirrors,
      readClockMs,
      onAsked: () => dispatch({ kind: 'tables.asked' }),
      containment,
    });
    this.client = new TableFeedClient({
      mirrors,
      localHost: options.localHost,
      maxAgesMs: new Map([
        [names.configuration, timings.configuration.maxRelayedAgeMs],
        [names.endpoints, timings.endpoints.maxRelayedAgeMs],
      ]),
      timing: timings.relay,
      readClockMs,
      onRows: (content, requestedAtMs) => this.handleRelayed(content, requestedAtMs),
      onFailed: ({ id }, detail) => dispatch({ kind: 'tables.sourceFailed', peer: id, detail }),
      containment,
    });
  }

  /** Where the tables are read, as it was decided last. */
  get source(): TableSource {
    return this.current;
  }

  start(): void {
    this.watched.forEach(({ watcher }) => watcher.start());
  }

  stop(): void {
    this.watched.forEach(({ watcher }) => watcher.stop());
    this.client.disconnect();
    this.server.close();
    clearInterval(this.serveTimer);
  }

  /** Accepts a connection by which a peer reads the tables from this entry VM. */
  handleUpgrade(incoming: IncomingMessage, socket: Duplex, head: Buffer): void {
    this.server.handleUpgrade(incoming, socket, head);
  }

  /** Reads the changes of all tables at once, unless a peer passes them on. */
  readNow(): void {
    this.watched.forEach(({ watcher }) => watcher.readNow());
  }

  /**
   * Reads from another source. The store is read until a peer has passed on everything for the first time,
   * and again when there is no peer.
   */
  changeSource(source: TableSource): void {
    const { peer, role } = source;
    const isOtherPeer = this.current.peer?.id !== peer?.id;
    this.current = source;
    if (role === 'none') this.server.close();
    else this.server.open(role === 'serves');
    this.changeServing(role === 'serves');
    if (peer === undefined) this.readStore();
    else if (isOtherPeer) this.client.connect(peer);
  }

  /** Returns how long ago the newest answered read of each table was sent, the configuration first. */
  listAges(): readonly [TableAge, TableAge] {
    const [configuration, endpoints] = this.watched;
    return [this.describeAge(configuration), this.describeAge(endpoints)];
  }

  private describeAge({ mirror: { table, confirmedAtMs } }: WatchedTable): TableAge {
    const ageMs =
      confirmedAtMs === undefined ? undefined : this.options.readClockMs() - confirmedAtMs;
    return { table, ageMs };
  }

  private createWatched(
    table: string,
    timing: TableReadTimings['endpoints'],
    onUpdated: (update: TableUpdate) => void,
  ): WatchedTable {
    const { tables, era, readClockMs, containment } = this.options;
    const mirror = new TableMirror(table);
    const handleUpdate = (update: TableUpdate): void => {
      onUpdated(update);
      if (update.kind !== 'failed' && update.rows.length > 0) this.server.pushChanges();
    };
    const watcher = new TableWatcher({
      tables,
      mirror,
      timing,
      era,
      readClockMs,
      onUpdated: handleUpdate,
      containment,
    });
    return { mirror, watcher, onUpdated };
  }

  private readStore(): void {
    this.client.disconnect();
    if (this.isReadingStore) return;
    this.isReadingStore = true;
    this.start();
  }

  /**
   * Those that read from this entry VM need to know more often that it still reaches the store. One table
   * shows it for both.
   */
  private changeServing(isServing: boolean): void {
    clearInterval(this.serveTimer);
    if (!isServing) return;
    const { readIntervalMs } = this.options.timings.relay;
    const [{ mirror, watcher }] = this.watched;
    this.serveTimer = setInterval(() => {
      const ageMs = this.options.readClockMs() - (mirror.confirmedAtMs ?? 0);
      if (this.server.hasReaders && ageMs >= MIN_AGE_FRACTION * readIntervalMs) watcher.readNow();
    }, readIntervalMs);
  }

  /** @returns an error if the rows can't be used */
  private handleRelayed(content: TableFeedContent, requestedAtMs: number): string | undefined {
    const { era } = this.options;
    const { table, kind, rows, version } = content;
    const watched = this.watched.find(({ mirror }) => mirror.table === table);
    if (watched === undefined) return `unknown table ${table}`;
    if (era.observe(content.era) !== 'current') return 'era of the store is older or missing';
    const isNew = watched.mirror.apply(
      { kind, rows },
      { version, era: content.era },
      requestedAtMs,
    );
    watched.onUpdated(
      isNew ? { kind, rows, requestedAtMs } : { kind: 'changes', rows: [], requestedAtMs },
    );
    this.pauseStoreReads();
    return undefined;
  }

  private pauseStoreReads(): void {
    if (!this.isReadingStore) return;
    this.isReadingStore = false;
    this.watched.forEach(({ watcher }) => watcher.pause());
  }
}
