import type {
  Configuration,
  EndpointId,
  Engine,
  FailureDomainId,
  ModelDeclaration,
  ModelId,
  TeamDeclaration,
  TeamId,
} from '@savorywind/model';

const NO_ENGINES: readonly Engine[] = [];

/**
 * Index of the configuration in force: engines by id, model and failure domain, and teams by id.
 * Rebuilt on the first read after the configuration changes.
 */
export class FleetIndex {
  private indexedConfiguration: Configuration | undefined;

  private readonly byId = new Map<EndpointId, Engine>();

  private readonly byModel = new Map<ModelId, Engine[]>();

  private readonly byModelAndDomain = new Map<string, Engine[]>();

  private readonly largestMemoryByModel = new Map<ModelId, number>();

  private readonly models = new Map<ModelId, ModelDeclaration>();

  private readonly teams = new Map<TeamId, TeamDeclaration>();

  constructor(private readonly readConfiguration: () => Configuration | undefined) {}

  findEngine(id: EndpointId): Engine | undefined {
    this.updateIndex();
    return this.byId.get(id);
  }

  /** Engines that serve a model, in one failure domain or, without one, in all of them. */
  listEngines(model: ModelId, failureDomain?: FailureDomainId): readonly Engine[] {
    this.updateIndex();
    if (failureDomain === undefined) return this.byModel.get(model) ?? NO_ENGINES;
    return this.byModelAndDomain.get(FleetIndex.formatKey(model, failureDomain)) ?? NO_ENGINES;
  }

  /** KV cache size of the largest engine that serves a model, in tokens; 0 if there is none. */
  findLargestMemoryTokens(model: ModelId): number {
    this.updateIndex();
    return this.largestMemoryByModel.get(model) ?? 0;
  }

  /** Fair-share weight of a team; 1 for a team that is not declared. */
  findTeamWeight(team: TeamId): number {
    this.updateIndex();
    return this.findTeam(team)?.weight ?? 1;
  }

  findModel(model: ModelId): ModelDeclaration | undefined {
    this.updateIndex();
    return this.models.get(model);
  }

  findTeam(team: TeamId): TeamDeclaration | undefined {
    this.updateIndex();
    return this.teams.get(team);
  }

  private updateIndex(): void {
    const configuration = this.readConfiguration();
    if (configuration === this.indexedConfiguration) return;
    this.indexedConfiguration = configuration;
    [
      this.byId,
      this.byModel,
      this.byModelAndDomain,
      this.largestMemoryByModel,
      this.models,
      this.teams,
    ].forEach((map) => map.clear());
    configuration?.endpoints.forEach((endpoint) => {
      if (endpoint.kind === 'engine') this.addEngine(endpoint);
    });
    configuration?.models.forEach((model) => this.models.set(model.id, model));
    configuration?.teams.forEach((team) => this.teams.set(team.id, team));
  }

  private addEngine(engine: Engine): void {
    const { id, model, failureDomain, memoryTokens } = engine;
    this.byId.set(id, engine);
    FleetIndex.addToGroup(this.byModel, model, engine);
    FleetIndex.addToGroup(
      this.byModelAndDomain,
      FleetIndex.formatKey(model, failureDomain),
      engine,
    );
    this.largestMemoryByModel.set(
      model,
      Math.max(memoryTokens, this.largestMemoryByModel.get(model) ?? 0),
    );
  }

  private static addToGroup(map: Map<string, Engine[]>, key: string, engine: Engine): void {
    const engines = map.get(key);
    if (engines === undefined) map.set(key, [engine]);
    else engines.push(engine);
  }

  private static formatKey(model: ModelId, failureDomain: FailureDomainId): string {
    return `${failureDomain}/${model}`;
  }
}
