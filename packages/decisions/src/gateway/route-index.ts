import type { GatewayConfiguration, GatewayTeam, Route, RoutedService } from '@savorywind/model';

/** Finds a request's route, service and team in one version of the configuration. */
export class RouteIndex {
  readonly version: number;

  /**
   * Whether the configuration has credentials, which routes that are not anonymous then require.
   */
  readonly hasCredentials: boolean;

  /** Routes of a host, longest prefix first. */
  private readonly routesByHost = new Map<string, Route[]>();

  private readonly services = new Map<string, RoutedService>();

  private readonly teamByCredential = new Map<string, GatewayTeam>();

  constructor(configuration: GatewayConfiguration) {
    this.version = configuration.version;
    this.hasCredentials = configuration.teams !== undefined;
    configuration.routes.forEach((route) => this.addRoute(route));
    this.routesByHost.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    configuration.services.forEach((service) => this.services.set(service.name, service));
    (configuration.teams ?? []).forEach((team) =>
      team.credentials.forEach((credential) => this.teamByCredential.set(credential, team)),
    );
  }

  /**
   * Finds the route of the host with the longest prefix of the path.
   *
   * @example
   * routeIndex.findRoute('shop.example:8080', '/orders/7'); // the route with the prefix /orders/
   */
  findRoute(host: string, path: string): Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    return this.routesByHost.get(name)?.find(({ prefix }) => path.startsWith(prefix));
  }

  findService(name: string): RoutedService | undefined {
    return this.services.get(name);
  }

  findTeam(credential: string | undefined): GatewayTeam | undefined {
    return credential === undefined ? undefined : this.teamByCredential.get(credential);
  }

  /** Finds the shortest permitted pause of the routes to a service, in milliseconds. */
  findTightestGapMs(service: string): number | undefined {
    const gaps = [...this.routesByHost.values()]
      .flat()
      .filter(({ shares }) => shares.some((share) => share.service === service))
      .flatMap(({ maxEventGapMs }) => maxEventGapMs ?? []);
    return gaps.length === 0 ? undefined : Math.min(...gaps);
  }

  private addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const routes = this.routesByHost.get(host);
    if (routes === undefined) this.routesByHost.set(host, [route]);
    else routes.push(route);
  }
}
