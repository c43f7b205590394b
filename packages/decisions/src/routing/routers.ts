import { BaselineRouter } from './baselines/baseline-router.js';
import {
  createLeastLoadPicker,
  createRoundRobinPicker,
  createTwoChoicesPicker,
} from './baselines/engine-pickers.js';
import { CoordinatedRouter } from './coordinated/coordinated-router.js';
import type { CoordinatedPolicy } from './coordinated/types.js';
import type { Router, RouterDependencies } from './types.js';

export type RouterName =
  | 'roundRobin'
  | 'leastLoad'
  | 'twoChoices'
  | 'homeCredits'
  | 'homeSingleGrants'
  | 'homeFirstCome'
  | 'homeShortestFirst'
  | 'homeEarliestDeadline'
  | 'homeSplitBands'
  | 'homeLeastBacklog'
  | 'homeNoPriority'
  | 'homeNoAffinity'
  | 'homeNoAdmission'
  | 'homeNoFairness';

const DEFAULT_POLICY: CoordinatedPolicy = {
  grants: 'credits',
  order: 'responseRatio',
  heavyPlacement: 'fillFirst',
  affinity: 'hash',
  enginePriority: 'byLength',
  admission: 'byEstimate',
  fairness: 'byWeight',
};

type CreateRouter = (dependencies: RouterDependencies) => Router;

const createCoordinated =
  (changes: Partial<CoordinatedPolicy> = {}): CreateRouter =>
  (dependencies) =>
    new CoordinatedRouter(dependencies, { ...DEFAULT_POLICY, ...changes });

const createBaseline =
  (createPicker: () => ConstructorParameters<typeof BaselineRouter>[1]): CreateRouter =>
  (dependencies) =>
    new BaselineRouter(dependencies, createPicker());

/**
 * Creates a router by policy name: the default policy, variants that change one setting of it, and
 * simple baselines for comparison. Names that begin with `home` are policies of the coordinated
 * router.
 */
export const routers: Readonly<Record<RouterName, CreateRouter>> = {
  roundRobin: createBaseline(createRoundRobinPicker),
  leastLoad: createBaseline(createLeastLoadPicker),
  twoChoices: createBaseline(createTwoChoicesPicker),
  homeCredits: createCoordinated(),
  homeSingleGrants: createCoordinated({ grants: 'single' }),
  homeFirstCome: createCoordinated({ order: 'firstCome' }),
  homeShortestFirst: createCoordinated({ order: 'shortestFirst' }),
  homeEarliestDeadline: createCoordinated({ order: 'earliestDeadline' }),
  homeSplitBands: createCoordinated({ heavyPlacement: 'split' }),
  homeLeastBacklog: createCoordinated({ heavyPlacement: 'leastBacklog' }),
  homeNoPriority: createCoordinated({ enginePriority: 'none' }),
  homeNoAffinity: createCoordinated({ affinity: 'none' }),
  homeNoAdmission: createCoordinated({ admission: 'none' }),
  homeNoFairness: createCoordinated({ fairness: 'none' }),
};

export const DEFAULT_ROUTER: RouterName = 'homeCredits';
