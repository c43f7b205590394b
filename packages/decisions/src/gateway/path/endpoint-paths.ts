import type { EndpointId, GatewayEndpoint, ServiceId } from '@savorywind/model';
import type { EndpointTable } from '../endpoint-table.js';
import type { GatewayContext } from '../gateway-context.js';
import { EndpointPath, type PathUsage } from './endpoint-path.js';
import type { ProbeOutcome } from './probe-round.js';

export interface EndpointPathsOptions {
  readonly context: GatewayContext;
  readonly table: EndpointTable;
  /** Whether a connection may be opened to an endpoint only to see whether there is a path. */
  readonly mayProbe: (endpoint: GatewayEndpoint) => boolean;
  /** Called when no endpoint of a service can be connected to any more. */
  readonly onLost: (service: ServiceId) => void;
  /** Called when endpoints of a service can be connected to again. */
  readonly onRegained: (service: ServiceId) => void;
}

/**
 * The paths of this entry VM to the endpoints of each service. A lost path has the others probed at once,
 * before a request has to find out.
 *
 * @example
 * paths.find('pool').recordLoss();
 * paths.isLost('pool'); // whether no endpoint of the service can be connected to
 */
export class EndpointPaths {
  private readonly paths = new Map<ServiceId, EndpointPath>();

  constructor(private readonly options: EndpointPathsOptions) {}

  /** Returns the path to the endpoints of a service. */
  find(service: ServiceId): EndpointPath {
    const existing = this.paths.get(service);
    if (existing !== undefined) return existing;
    const { context, table, mayProbe, onRegained } = this.options;
    const created = new EndpointPath({
      context,
      table,
      mayProbe,
      service,
      onLost: () => this.handleLost(service),
      onRegained: () => onRegained(service),
    });
    this.paths.set(service, created);
    return created;
  }

  isLost(service: ServiceId): boolean {
    return this.paths.get(service)?.isLost === true;
  }

  /** Lists the services none of whose endpoints can be connected to. */
  listLost(): ServiceId[] {
    return [...this.paths].filter(([, path]) => path.isLost).map(([service]) => service);
  }

  /**
   * Whether this entry VM, and not the endpoints, must be taken for the cause of lost connections. The few
   * replicas of one service may have crashed.
   */
  get isCutOff(): boolean {
    const lost = [...this.paths.values()].filter((path) => path.isLost);
    return lost.length > 1 || lost.some((path) => path.isLostToMany);
  }

  get usage(): PathUsage[] {
    return [...this.paths.values()].map((path) => path.usage);
  }

  handleProbed(endpoint: EndpointId, outcome: ProbeOutcome): void {
    this.paths.forEach((path) => path.handleProbed(endpoint, outcome));
  }

  private handleLost(lost: ServiceId): void {
    this.options.onLost(lost);
    this.paths.forEach((path, service) => {
      if (service !== lost) path.recordLoss();
    });
  }
}
