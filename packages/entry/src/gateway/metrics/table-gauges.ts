import type { TableSource } from '@savorywind/decisions';
import type { Gauge } from '../../observe/render-metrics.js';
import type { TableAge } from '../store/store-tables.js';

const MS_PER_S = 1_000;

/** Shown as the age of a table that was never read, in seconds. */
const NEVER_READ_S = -1;

const listAgeGauges = ([configuration, endpoints]: readonly [TableAge, TableAge]): Gauge[] => {
  const convert = ({ ageMs }: TableAge): number =>
    ageMs === undefined ? NEVER_READ_S : ageMs / MS_PER_S;
  return [
    {
      metric: 'savorywind_configuration_age_seconds',
      help: 'Time since the newest answered read of the configuration was sent; -1 before the first.',
      value: convert(configuration),
    },
    {
      metric: 'savorywind_registrations_age_seconds',
      help: 'Time since the newest answered read of the registrations was sent; -1 before the first.',
      value: convert(endpoints),
    },
  ];
};

/**
 * Lists what shows how this entry VM knows the tables of the store: whether it reads the store itself,
 * whether it passes on what it reads, and how old its knowledge is.
 *
 * @example
 * listTableGauges({ peer: undefined, role: 'serves' }, tables.listAges());
 */
export const listTableGauges = (
  { peer, role }: TableSource,
  ages: readonly [TableAge, TableAge],
): Gauge[] => [
  {
    metric: 'savorywind_reads_store',
    help: '1 if this VM reads the tables of the store itself, 0 if a peer passes them on to it.',
    value: Number(peer === undefined),
  },
  {
    metric: 'savorywind_serves_tables',
    help: '1 if this VM passes on to peers what it reads of the store.',
    value: Number(role === 'serves'),
  },
  ...listAgeGauges(ages),
];
