import { validateHeaderName, validateHeaderValue } from 'node:http';

/** Names of methods and fields (RFC 9110, section 5.6.2). */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/** Characters that Node's client refuses in a request target. */
const UNSENDABLE_IN_TARGET = /[^\x21-\xff]/;

/** Characters of a reason phrase that end or spoil the status line. */
const UNSENDABLE_IN_REASON = /[^\t\x20-\x7e\x80-\xff]/;

/** Opens a tunnel: what follows on the connection is no HTTP. */
const TUNNEL_METHOD = 'CONNECT';

const VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1']);

/** Statuses below this one are interim, or change the protocol; none of them is an answer. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 999;

/** Transfer codings that Node decodes, and the one that changes nothing. */
const DECODED_CODINGS: ReadonlySet<string> = new Set(['identity', 'chunked', 'identity,chunked']);

/** Longest part of a value that a description of a fault shows, in characters. */
const MAX_SHOWN_LENGTH = 64;

const showValue = (value: string): string => JSON.stringify(value.slice(0, MAX_SHOWN_LENGTH));

const hasThrown = (validate: () => void): boolean => {
  try {
    validate();
    return false;
  } catch {
    return true;
  }
};

/**
 * Finds why a request can't be sent with a method.
 *
 * @example
 * findMethodFault('GET'); // undefined
 */
export const findMethodFault = (method: string): string | undefined => {
  if (!TOKEN.test(method)) return `method ${showValue(method)} is no token`;
  return method === TUNNEL_METHOD ? 'method CONNECT opens a tunnel' : undefined;
};

/**
 * Finds why a request line can't hold a request target.
 *
 * @example
 * findTargetFault('/draft\t1'); // 'request target "/draft\\t1" has a character that no request line can hold'
 */
export const findTargetFault = (target: string): string | undefined => {
  if (target === '') return 'request target is empty';
  if (!UNSENDABLE_IN_TARGET.test(target)) return undefined;
  return `request target ${showValue(target)} has a character that no request line can hold`;
};

/**
 * Finds why a response with a version of the protocol can't be read: what its head means is defined for one major
 * version.
 *
 * @example
 * findVersionFault('2.0'); // 'version "2.0" is not 1.0 or 1.1'
 */
export const findVersionFault = (version: string): string | undefined =>
  VERSIONS.has(version) ? undefined : `version ${showValue(version)} is not 1.0 or 1.1`;

/**
 * Finds why a response with a status is no final response that can be passed on. Statuses that no standard
 * defines are passed on.
 *
 * @example
 * findStatusFault(99); // 'status 99 is not from 200 to 999'
 */
export const findStatusFault = (status: number): string | undefined => {
  const isFinal = Number.isInteger(status) && status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
  return isFinal ? undefined : `status ${status} is not from ${MIN_FINAL_STATUS} to ${MAX_STATUS}`;
};

/**
 * Finds why the body of a response can't be passed on as it was meant: only chunks are decoded, and whoever gets
 * the body is told of no other transfer coding.
 *
 * @param value of `Transfer-Encoding`, joined by commas where there are several
 * @example
 * findCodingFault('gzip, chunked'); // 'transfer coding "gzip, chunked" is not decoded'
 */
export const findCodingFault = (value: string | undefined): string | undefined => {
  if (value === undefined) return undefined;
  const codings = value.split(',').map((coding) => coding.trim().toLowerCase());
  if (DECODED_CODINGS.has(codings.join())) return undefined;
  return `transfer coding ${showValue(value)} is not decoded`;
};

/**
 * Finds why a status line can't hold a reason phrase.
 *
 * @example
 * findReasonFault('Not Found'); // undefined
 */
export const findReasonFault = (reason: string): string | undefined =>
  UNSENDABLE_IN_REASON.test(reason)
    ? `reason ${showValue(reason)} has a character that no status line can hold`
    : undefined;

/**
 * Finds why a head can't hold a field name.
 *
 * @example
 * findFieldNameFault('no header'); // 'field name "no header" is no token'
 */
export const findFieldNameFault = (name: string): string | undefined =>
  hasThrown(() => validateHeaderName(name))
    ? `field name ${showValue(name)} is no token`
    : undefined;

/**
 * Finds why a head can't hold a field value. The value itself isn't shown, as it may be a credential.
 *
 * @example
 * findFieldValueFault('X-Team', 'Łódź'); // 'value of field "X-Team" has a character that no head can hold'
 */
export const findFieldValueFault = (name: string, value: string): string | undefined =>
  hasThrown(() => validateHeaderValue(name, value))
    ? `value of field ${showValue(name)} has a character that no head can hold`
    : undefined;

/**
 * Finds why a head can't hold a list of fields.
 *
 * @param rawHeaders alternating names and values
 * @example
 * findFieldsFault(['Host', 'a.example']); // undefined
 */
export const findFieldsFault = (rawHeaders: readonly string[]): string | undefined => {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    const fault = findFieldNameFault(name) ?? findFieldValueFault(name, rawHeaders[index + 1]!);
    if (fault !== undefined) return fault;
  }
  return undefined;
};

/**
 * Finds why a name can't be the value of a field that arrives unchanged: whoever reads a field leaves out
 * the whitespace around its value, so an empty or padded name is read as another one.
 *
 * @example
 * findNameFault('i-→'); // 'name "i-→" has a character that no head can hold'
 */
export const findNameFault = (name: string): string | undefined => {
  if (name === '' || name !== name.trim())
    return `name ${showValue(name)} is empty, or begins or ends with whitespace`;
  if (findFieldValueFault('name', name) === undefined) return undefined;
  return `name ${showValue(name)} has a character that no head can hold`;
};
