import type {
  EngineWork,
  ForwardingOffer,
  HarmObservation,
  LeavingObservation,
  LimitObservation,
  WorkSnapshot,
} from '@savorywind/model';

/**
 * A snapshot as an array without field names, a quarter as long as a map: version, id, failure domain,
 * host and port of the sender, incarnation, sequence, the work, {@link VALUES_PER_ENGINE} values an
 * engine, the limits of endpoints, {@link VALUES_PER_LIMIT} values each, and the version
 * and age of the configuration, and if there are any the endpoints that leave,
 * {@link VALUES_PER_LEAVING} values each, the suspects, {@link VALUES_PER_SUSPECT} values each, for how
 * long the store has answered, whether requests of peers are accepted, with the services whose endpoints
 * can't be connected to, and the start of the process that named each limit. Earlier builds send and read only
 * the first elements.
 */
export type CompactSnapshot = readonly [
  version: number,
  id: string,
  failureDomain: string,
  host: string,
  port: number,
  incarnation: number,
  sequence: number,
  work: readonly (string | number)[],
  limits: readonly (string | number)[],
  configurationVersion: number | undefined,
  configurationAgeMs: number | undefined,
  /**
   * Endpoints that leave, suspects, contact with the store, requests of peers, starts of limited processes: as
   * many as the last one that is not empty.
   */
  ...optional: (readonly unknown[])[],
];

/** First element of a compact snapshot. */
export const COMPACT_VERSION = 2;

const VALUES_PER_ENGINE = 8;

const VALUES_PER_LIMIT = 3;

const VALUES_PER_LEAVING = 3;

const VALUES_PER_SUSPECT = 5;

const VALUES_PER_CRASH = 4;

/** Stands for the requests per second of a limit that has ended. */
const ENDED = -1;

/** Stands for the start of a process that is not known. */
const UNKNOWN_START = -1;

const listLimitValues = ({ endpoint, perSecond, ageMs }: LimitObservation): (string | number)[] => [
  endpoint,
  perSecond ?? ENDED,
  ageMs,
];

const listLeavingValues = (observation: LeavingObservation): (string | number)[] => [
  observation.endpoint,
  observation.startedAtMs,
  observation.ageMs,
];

const listSuspectValues = (observation: HarmObservation): unknown[] => [
  observation.suspect,
  observation.depth,
  observation.begunAgeMs,
  observation.triedAgeMs,
  observation.crashes.flatMap(({ process, request, tookMs, ageMs }) => [
    process,
    request,
    tookMs,
    ageMs,
  ]),
];

/** Lists the starts in the order of the limits; none if no limit has one. */
const listLimitStarts = (limits: readonly LimitObservation[]): number[] => {
  const starts = limits.map(({ startedAtMs }) => startedAtMs ?? UNKNOWN_START);
  return starts.every((start) => start === UNKNOWN_START) ? [] : starts;
};

const listForwardingValues = (offer: ForwardingOffer | undefined): unknown[] =>
  offer === undefined ? [] : [offer.isAccepting, ...offer.lostServices];

/** Lists the elements at the end that are left out where there is nothing to tell. */
const listOptional = ({
  limits = [],
  leaving = [],
  harm = [],
  storeAvailableMs,
  forwarding,
}: WorkSnapshot): unknown[][] => {
  const elements: unknown[][] = [
    leaving.flatMap(listLeavingValues),
    harm.flatMap(listSuspectValues),
    storeAvailableMs === undefined ? [] : [storeAvailableMs],
    listForwardingValues(forwarding),
    listLimitStarts(limits),
  ];
  while (elements.at(-1)?.length === 0) elements.pop();
  return elements;
};

const listWorkValues = (work: EngineWork): (string | number)[] => [
  work.endpoint,
  work.writers,
  work.tightWriters,
  work.tightGapMs,
  work.readers,
  work.longReaders,
  work.readMs,
  work.memoryTokens,
];

/**
 * Converts a snapshot to its compact form.
 *
 * @example
 * packr.pack(encodeCompactSnapshot(snapshot));
 */
export const encodeCompactSnapshot = (snapshot: WorkSnapshot): CompactSnapshot => {
  const { from, incarnation, sequence, work, limits = [], configuration } = snapshot;
  const { host, port } = from.address;
  return [
    COMPACT_VERSION,
    from.id,
    from.failureDomain,
    host,
    port,
    incarnation,
    sequence,
    work.flatMap(listWorkValues),
    limits.flatMap(listLimitValues),
    configuration?.version,
    configuration?.ageMs,
    ...listOptional(snapshot),
  ];
};

const decodeWork = (values: readonly unknown[]): unknown[] => {
  const work: unknown[] = [];
  for (let index = 0; index < values.length; index += VALUES_PER_ENGINE) {
    work.push({
      endpoint: values[index],
      writers: values[index + 1],
      tightWriters: values[index + 2],
      tightGapMs: values[index + 3],
      readers: values[index + 4],
      longReaders: values[index + 5],
      readMs: values[index + 6],
      memoryTokens: values[index + 7],
    });
  }
  return work;
};

const decodeLimits = (values: readonly unknown[], starts: readonly unknown[]): unknown[] => {
  const limits: unknown[] = [];
  for (let index = 0; index < values.length; index += VALUES_PER_LIMIT) {
    const perSecond = values[index + 1];
    const startedAtMs = starts[index / VALUES_PER_LIMIT];
    limits.push({
      endpoint: values[index],
      perSecond: perSecond === ENDED ? undefined : perSecond,
      ageMs: values[index + 2],
      startedAtMs: startedAtMs === UNKNOWN_START ? undefined : startedAtMs,
    });
  }
  return limits;
};

const decodeLeaving = (values: readonly unknown[]): unknown[] => {
  const leaving: unknown[] = [];
  for (let index = 0; index < values.length; index += VALUES_PER_LEAVING) {
    leaving.push({
      endpoint: values[index],
      startedAtMs: values[index + 1],
      ageMs: values[index + 2],
    });
  }
  return leaving;
};

const decodeCrashes = (values: unknown): unknown => {
  if (!Array.isArray(values)) return undefined;
  const crashes: unknown[] = [];
  for (let index = 0; index < values.length; index += VALUES_PER_CRASH) {
    crashes.push({
      process: values[index] as unknown,
      request: values[index + 1] as unknown,
      tookMs: values[index + 2] as unknown,
      ageMs: values[index + 3] as unknown,
    });
  }
  return crashes;
};

const decodeHarm = (values: readonly unknown[]): unknown[] => {
  const harm: unknown[] = [];
  for (let index = 0; index < values.length; index += VALUES_PER_SUSPECT) {
    harm.push({
      suspect: values[index],
      depth: values[index + 1],
      begunAgeMs: values[index + 2],
      triedAgeMs: values[index + 3],
      crashes: decodeCrashes(values[index + 4]),
    });
  }
  return harm;
};

const decodeConfiguration = ([version, ageMs]: readonly unknown[]): unknown =>
  version === undefined ? undefined : { version, ageMs };

const decodeForwarding = ([isAccepting, ...lostServices]: readonly unknown[]): unknown =>
  isAccepting === undefined ? undefined : { isAccepting, lostServices };

/**
 * Converts a received array to the fields of a snapshot, which the caller checks.
 *
 * @returns undefined if the array is not a compact snapshot
 */
export const decodeCompactSnapshot = (datagram: readonly unknown[]): unknown => {
  const [
    version,
    id,
    failureDomain,
    host,
    port,
    incarnation,
    sequence,
    work,
    limits,
    configurationVersion,
    configurationAgeMs,
    leaving,
    harm,
    storeContact,
    forwarding,
    starts,
  ] = datagram;
  if (version !== COMPACT_VERSION || !Array.isArray(work)) return undefined;
  const from = { id, failureDomain, address: { host, port } };
  return {
    from,
    incarnation,
    sequence,
    work: decodeWork(work),
    limits: Array.isArray(limits)
      ? decodeLimits(limits, Array.isArray(starts) ? starts : [])
      : undefined,
    configuration: decodeConfiguration([configurationVersion, configurationAgeMs]),
    leaving: Array.isArray(leaving) ? decodeLeaving(leaving) : undefined,
    harm: Array.isArray(harm) ? decodeHarm(harm) : undefined,
    storeAvailableMs: Array.isArray(storeContact) ? (storeContact[0] as unknown) : undefined,
    forwarding: Array.isArray(forwarding) ? decodeForwarding(forwarding) : undefined,
  };
};
