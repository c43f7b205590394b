import type { Row, TableOperation, TableOutcome } from '@savorywind/model';

type Handlers = {
  readonly [Kind in TableOperation['kind']]: (
    operation: Extract<TableOperation, { readonly kind: Kind }>,
  ) => TableOutcome;
};

const KEY_SEPARATOR = '\n';

const formatRowKey = (table: string, key: string): string => `${table}${KEY_SEPARATOR}${key}`;

/** In-memory table service; a replacement needs the current revision of the row. */
export class TableStore {
  private readonly rows = new Map<string, Row>();

  private readonly handlers: Handlers = {
    get: ({ table, key }) => ({ kind: 'row', row: this.rows.get(formatRowKey(table, key)) }),
    scan: ({ table, prefix, limit }) => ({
      kind: 'rows',
      rows: [...this.rows.values()]
        .filter((row) => row.table === table && row.key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit),
    }),
    insert: ({ table, key, value }) => {
      const existing = this.rows.get(formatRowKey(table, key));
      if (existing !== undefined) return { kind: 'conflict', row: existing };
      return this.write({ table, key, value, revision: 1 });
    },
    replace: ({ table, key, value, revision }) => {
      const existing = this.rows.get(formatRowKey(table, key));
      if (existing === undefined || existing.revision !== revision) {
        return { kind: 'conflict', row: existing };
      }
      return this.write({ table, key, value, revision: revision + 1 });
    },
  };

  /** Applies operations in order. Each operation is atomic, the list is not. */
  apply(operations: readonly TableOperation[]): TableOutcome[] {
    return operations.map((operation) => {
      const handler = this.handlers[operation.kind] as (operation: TableOperation) => TableOutcome;
      return handler(operation);
    });
  }

  private write(row: Row): TableOutcome {
    this.rows.set(formatRowKey(row.table, row.key), row);
    return { kind: 'written', row };
  }
}
