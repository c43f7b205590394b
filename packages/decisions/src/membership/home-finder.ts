import {
  logEvents,
  type EndpointId,
  type Engine,
  type EntryVm,
  type EntryVmId,
  type FailureDomainId,
} from '@savorywind/model';
import type { NodeContext } from '../seam/node-context.js';
import { findOwner } from './rendezvous.js';

const formatLife = ({ id, incarnation }: EntryVm): string => `${id}.${incarnation}`;

/** Homes of engines among the entry VMs that are live, kept until those change. */
export class HomeFinder {
  live: readonly EntryVm[] = [];

  private lives = new Set<string>();

  private byDomain = new Map<FailureDomainId, EntryVmId[]>();

  private readonly homes = new Map<EndpointId, EntryVmId | undefined>();

  private readonly listeners: (() => void)[] = [];

  constructor(
    private readonly context: NodeContext,
    private readonly isLeaving: (id: EntryVmId) => boolean,
  ) {}

  onChanged(listener: () => void): void {
    this.listeners.push(listener);
  }

  findHome(engine: Engine): EntryVmId | undefined {
    if (this.homes.has(engine.id)) return this.homes.get(engine.id);
    const near = this.byDomain.get(engine.failureDomain);
    const home = findOwner(engine.id, near ?? this.live.map(({ id }) => id));
    this.homes.set(engine.id, home);
    return home;
  }

  updateLive(live: readonly EntryVm[]): void {
    const lives = new Set(live.map(formatLife));
    if (lives.size === this.lives.size && live.every((vm) => this.lives.has(formatLife(vm))))
      return;
    this.logChanges(live, lives);
    this.live = live;
    this.lives = lives;
    this.homes.clear();
    this.byDomain = new Map();
    live.forEach(({ id, failureDomain }) => {
      this.byDomain.set(failureDomain, [...(this.byDomain.get(failureDomain) ?? []), id]);
    });
    this.listeners.forEach((notify) => notify());
  }

  private logChanges(live: readonly EntryVm[], lives: ReadonlySet<string>): void {
    const { self } = this.context;
    live
      .filter((vm) => vm.id !== self.id && !this.lives.has(formatLife(vm)))
      .forEach(({ id, incarnation }) =>
        this.context.log(logEvents.peerJoined, { peer: id, incarnation }),
      );
    this.live
      .filter((vm) => vm.id !== self.id && !lives.has(formatLife(vm)))
      .forEach(({ id, incarnation }) => {
        const event = this.isLeaving(id) ? logEvents.peerLeaving : logEvents.peerLost;
        this.context.log(event, { peer: id, incarnation });
      });
  }
}
