import {
  logEvents,
  type EndpointId,
  type Engine,
  type EntryVm,
  type EntryVmId,
  type FailureDomainId,
} from '@savorywind/model';
import type { NodeContext } from '../context/node-context.js';
import { findOwner } from './rendezvous.js';

const formatIncarnation = ({ id, incarnation }: EntryVm): string => `${id}.${incarnation}`;

/**
 * Finds the coordinators of engines among the live entry VMs, and logs entry VMs that join or leave.
 * Results are cached until the set of live incarnations changes.
 */
export class CoordinatorFinder {
  live: readonly EntryVm[] = [];

  private liveIncarnations = new Set<string>();

  private idsByDomain = new Map<FailureDomainId, EntryVmId[]>();

  private readonly coordinators = new Map<EndpointId, EntryVmId | undefined>();

  private readonly listeners: (() => void)[] = [];

  constructor(
    private readonly context: NodeContext,
    private readonly isLeaving: (id: EntryVmId) => boolean,
  ) {}

  onChanged(listener: () => void): void {
    this.listeners.push(listener);
  }

  findCoordinator(engine: Engine): EntryVmId | undefined {
    if (this.coordinators.has(engine.id)) return this.coordinators.get(engine.id);
    const localIds = this.idsByDomain.get(engine.failureDomain);
    const coordinator = findOwner(engine.id, localIds ?? this.live.map(({ id }) => id));
    this.coordinators.set(engine.id, coordinator);
    return coordinator;
  }

  updateLive(live: readonly EntryVm[]): void {
    const incarnations = new Set(live.map(formatIncarnation));
    if (
      incarnations.size === this.liveIncarnations.size &&
      live.every((vm) => this.liveIncarnations.has(formatIncarnation(vm)))
    )
      return;
    this.logChanges(live, incarnations);
    this.live = live;
    this.liveIncarnations = incarnations;
    this.coordinators.clear();
    this.idsByDomain = new Map();
    live.forEach(({ id, failureDomain }) => {
      this.idsByDomain.set(failureDomain, [...(this.idsByDomain.get(failureDomain) ?? []), id]);
    });
    this.listeners.forEach((listener) => listener());
  }

  private logChanges(live: readonly EntryVm[], incarnations: ReadonlySet<string>): void {
    const { self } = this.context;
    live
      .filter((vm) => vm.id !== self.id && !this.liveIncarnations.has(formatIncarnation(vm)))
      .forEach(({ id, incarnation }) =>
        this.context.log(logEvents.peerJoined, { peer: id, incarnation }),
      );
    this.live
      .filter((vm) => vm.id !== self.id && !incarnations.has(formatIncarnation(vm)))
      .forEach(({ id, incarnation }) => {
        const event = this.isLeaving(id) ? logEvents.peerLeaving : logEvents.peerLost;
        this.context.log(event, { peer: id, incarnation });
      });
  }
}
