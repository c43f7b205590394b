import type {
  Configuration,
  EndpointId,
  Engine,
  FailureDomainId,
  ModelId,
  TeamDeclaration,
  TeamId,
} from '@savorywind/model';

const NO_ENGINES: readonly Engine[] = [];

/** Engines of the configuration in force by model and failure domain; built once a version. */
export class FleetIndex {
  private source: Configuration | undefined;

  private readonly byId = new Map<EndpointId, Engine>();

  private readonly byModel = new Map<ModelId, Engine[]>();

  private readonly byPlace = new Map<string, Engine[]>();

  private readonly memoryByModel = new Map<ModelId, number>();

  private readonly teams = new Map<TeamId, TeamDeclaration>();

  constructor(private readonly readConfiguration: () => Configuration | undefined) {}

  findEngine(id: EndpointId): Engine | undefined {
    this.refresh();
    return this.byId.get(id);
  }

  /** Engines for a model, in a failure domain or in all. */
  listEngines(model: ModelId, failureDomain?: FailureDomainId): readonly Engine[] {
    this.refresh();
    if (failureDomain === undefined) return this.byModel.get(model) ?? NO_ENGINES;
    return this.byPlace.get(FleetIndex.formatPlace(model, failureDomain)) ?? NO_ENGINES;
  }

  /** KV memory of the largest engine for a model, in tokens. */
  findLargestMemory(model: ModelId): number {
    this.refresh();
    return this.memoryByModel.get(model) ?? 0;
  }

  findWeight(team: TeamId): number {
    this.refresh();
    return this.findTeam(team)?.weight ?? 1;
  }

  findTeam(team: TeamId): TeamDeclaration | undefined {
    this.refresh();
    return this.teams.get(team);
  }

  private refresh(): void {
    const configuration = this.readConfiguration();
    if (configuration === this.source) return;
    this.source = configuration;
    [this.byId, this.byModel, this.byPlace, this.memoryByModel, this.teams].forEach((map) =>
      map.clear(),
    );
    configuration?.endpoints.forEach((endpoint) => {
      if (endpoint.kind === 'engine') this.addEngine(endpoint);
    });
    configuration?.teams.forEach((team) => this.teams.set(team.id, team));
  }

  private addEngine(engine: Engine): void {
    const { id, model, failureDomain, memoryTokens } = engine;
    this.byId.set(id, engine);
    FleetIndex.addTo(this.byModel, model, engine);
    FleetIndex.addTo(this.byPlace, FleetIndex.formatPlace(model, failureDomain), engine);
    this.memoryByModel.set(model, Math.max(memoryTokens, this.memoryByModel.get(model) ?? 0));
  }

  private static addTo(map: Map<string, Engine[]>, key: string, engine: Engine): void {
    const engines = map.get(key);
    if (engines === undefined) map.set(key, [engine]);
    else engines.push(engine);
  }

  private static formatPlace(model: ModelId, failureDomain: FailureDomainId): string {
    return `${failureDomain}/${model}`;
  }
}
