const SERVICE_URL_PATTERN = /^\/services\/([a-z0-9._-]+)(\/[^?]*)?(\?.*)?$/;
const VISIBLE_ASCII = /^[\x21-\x7e]*$/;
const ENCODED_SEPARATOR = /%2f|%5c|%00|\\/i;
const DOT_SEGMENT = /^(?:\.|%2e){1,2}$/i;
const FRAGMENT = '#';

export interface ServicePath {
  readonly service: string;
  /** Path that the service receives, without the query. */
  readonly path: string;
  /** Query string including its question mark; empty if there is none. */
  readonly query: string;
}

/** Parses a URL of the form `/services/SERVICE/PATH?QUERY`; undefined for any other URL. */
export const parseServicePath = (url: string): ServicePath | undefined => {
  const [, service, path = '/', query = ''] = SERVICE_URL_PATTERN.exec(url) ?? [];
  return service === undefined ? undefined : { service, path, query };
};

/**
 * Checks that a service can't normalize a path to a different one. The path decides here whether a
 * call is idempotent, so the service must read the same path.
 *
 * @example
 * isUnambiguousPath({ service: 'booking', path: '/bookings/17', query: '' }); // true
 * isUnambiguousPath({ service: 'booking', path: '/bookings/../payments', query: '' }); // false
 */
export const isUnambiguousPath = ({ path, query }: ServicePath): boolean =>
  VISIBLE_ASCII.test(path) &&
  VISIBLE_ASCII.test(query) &&
  !path.includes(FRAGMENT) &&
  !query.includes(FRAGMENT) &&
  !path.includes('//') &&
  !ENCODED_SEPARATOR.test(path) &&
  !path.split('/').some((segment) => DOT_SEGMENT.test(segment));
