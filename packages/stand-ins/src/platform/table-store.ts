import type { Row, TableOperation, TableOutcome } from '@savorywind/model';

type Handlers = {
  readonly [Kind in TableOperation['kind']]: (
    operation: Extract<TableOperation, { readonly kind: Kind }>,
  ) => TableOutcome;
};

const SEPARATOR = '\n';

const formatPlace = (table: string, key: string): string => `${table}${SEPARATOR}${key}`;

/** Rows of the stand-in's table service, kept in memory. */
export class TableStore {
  private readonly rows = new Map<string, Row>();

  private readonly handlers: Handlers = {
    get: ({ table, key }) => ({ kind: 'row', row: this.rows.get(formatPlace(table, key)) }),
    scan: ({ table, prefix, limit }) => ({
      kind: 'rows',
      rows: [...this.rows.values()]
        .filter((row) => row.table === table && row.key.startsWith(prefix))
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit),
    }),
    insert: ({ table, key, value }) => {
      const found = this.rows.get(formatPlace(table, key));
      if (found !== undefined) return { kind: 'conflict', row: found };
      return this.write({ table, key, value, revision: 1 });
    },
    replace: ({ table, key, value, revision }) => {
      const found = this.rows.get(formatPlace(table, key));
      if (found === undefined || found.revision !== revision) {
        return { kind: 'conflict', row: found };
      }
      return this.write({ table, key, value, revision: revision + 1 });
    },
  };

  /** Applies operations in order; each is atomic by itself. */
  apply(operations: readonly TableOperation[]): TableOutcome[] {
    return operations.map((operation) => {
      const handler = this.handlers[operation.kind] as (given: TableOperation) => TableOutcome;
      return handler(operation);
    });
  }

  private write(row: Row): TableOutcome {
    this.rows.set(formatPlace(row.table, row.key), row);
    return { kind: 'written', row };
  }
}
