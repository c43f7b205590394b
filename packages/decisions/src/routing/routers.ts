import { BaselineRouter } from './baselines/baseline-router.js';
import {
  createLeastLoadPicker,
  createRoundRobinPicker,
  createTwoChoicesPicker,
} from './baselines/engine-pickers.js';
import { HomeRouter } from './home/home-router.js';
import type { HomePolicy } from './home/types.js';
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

const CHOSEN: HomePolicy = {
  grants: 'credits',
  order: 'responseRatio',
  heavyPlacement: 'fillFirst',
  affinity: 'hash',
  enginePriority: 'byLength',
  admission: 'byEstimate',
  fairness: 'byWeight',
};

type CreateRouter = (dependencies: RouterDependencies) => Router;

const createHome =
  (changes: Partial<HomePolicy> = {}): CreateRouter =>
  (dependencies) =>
    new HomeRouter(dependencies, { ...CHOSEN, ...changes });

const createBaseline =
  (createPicker: () => ConstructorParameters<typeof BaselineRouter>[1]): CreateRouter =>
  (dependencies) =>
    new BaselineRouter(dependencies, createPicker());

/** Placement policies by name: the one that runs by default, its variants, and the baselines. */
export const routers: Readonly<Record<RouterName, CreateRouter>> = {
  roundRobin: createBaseline(createRoundRobinPicker),
  leastLoad: createBaseline(createLeastLoadPicker),
  twoChoices: createBaseline(createTwoChoicesPicker),
  homeCredits: createHome(),
  homeSingleGrants: createHome({ grants: 'single' }),
  homeFirstCome: createHome({ order: 'firstCome' }),
  homeShortestFirst: createHome({ order: 'shortestFirst' }),
  homeEarliestDeadline: createHome({ order: 'earliestDeadline' }),
  homeSplitBands: createHome({ heavyPlacement: 'split' }),
  homeLeastBacklog: createHome({ heavyPlacement: 'leastBacklog' }),
  homeNoPriority: createHome({ enginePriority: 'none' }),
  homeNoAffinity: createHome({ affinity: 'none' }),
  homeNoAdmission: createHome({ admission: 'none' }),
  homeNoFairness: createHome({ fairness: 'none' }),
};

export const DEFAULT_ROUTER: RouterName = 'homeCredits';
