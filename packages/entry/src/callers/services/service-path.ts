const SERVICE_PATH = /^\/services\/([a-z0-9._-]+)(\/[^?]*)?(\?.*)?$/;
const VISIBLE_ASCII = /^[\x21-\x7e]*$/;
const ENCODED_SEPARATOR = /%2f|%5c|%00|\\/i;
const DOT_SEGMENT = /^(?:\.|%2e){1,2}$/i;
const FRAGMENT = '#';

export interface ServicePath {
  readonly service: string;
  /** Path below the service, without the query. */
  readonly path: string;
  /** The query with its question mark, or nothing. */
  readonly query: string;
}

/** Takes the path of a call to a plain service apart; undefined where it is no such path. */
export const parseServicePath = (url: string): ServicePath | undefined => {
  const [, service, path = '/', query = ''] = SERVICE_PATH.exec(url) ?? [];
  return service === undefined ? undefined : { service, path, query };
};

/**
 * Tells whether a service can't read a path as another one than savorywind does, which decides by
 * the path whether a call is idempotent.
 *
 * @example
 * isPlainPath('/bookings/17'); // true
 * isPlainPath('/bookings/../payments'); // false
 */
export const isPlainPath = ({ path, query }: ServicePath): boolean =>
  VISIBLE_ASCII.test(path) &&
  VISIBLE_ASCII.test(query) &&
  !path.includes(FRAGMENT) &&
  !query.includes(FRAGMENT) &&
  !path.includes('//') &&
  !ENCODED_SEPARATOR.test(path) &&
  !path.split('/').some((segment) => DOT_SEGMENT.test(segment));
