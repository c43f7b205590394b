import type { ChangeAsk } from '@savorywind/decisions';
import type { Configuration } from '@savorywind/model';
import type { FakeClock } from './clock.js';
import { createEntryVmPlaces, createSmallConfiguration, FAILURE_DOMAINS } from './deployments.js';
import type { FakeCaller } from './fake-caller.js';
import { PLATFORM_PLACE, type NetworkSettings, type Place } from './network.js';
import type { Step } from './steps.js';
import { World } from './world.js';

type StepHandlers = {
  readonly [Kind in Step['kind']]: (step: Extract<Step, { readonly kind: Kind }>) => void;
};

export interface RunSettings {
  readonly seed: number;
  readonly entryVmsPerDomain: number;
  readonly enginesPerDomain: number;
  readonly transcriptLines?: number;
}

/** A network that loses, doubles and delays messages between entry VMs. */
const ROUGH_NETWORK: NetworkSettings = {
  minDelayMs: 0.2,
  maxDelayMs: 2,
  lossRate: 0.02,
  doubleRate: 0.02,
  lateRate: 0.03,
  lateMs: 3_000,
};

const RETRY_TIMEOUT_MS = 4_000;

/** Within this time a committed configuration is in force on every entry VM. */
const CONFIGURATION_LIMIT_MS = 9_000;

/** Within this time after the last fault all deadlines have passed and all memory is free. */
const SETTLE_MS = 60_000;

const SETTLE_STEP_MS = 5_000;

const START_MS = 200;

/** Carries out the steps of one randomised run on a world of its own. */
export class StepRunner {
  readonly world: World;

  private readonly places: readonly Place[] = [...FAILURE_DOMAINS, PLATFORM_PLACE];

  private readonly vmIds: readonly string[];

  private readonly endpointIds: readonly string[];

  private nextRequest = 1;

  private lastChange: ChangeAsk | undefined;

  private readonly configuration: Configuration;

  private readonly handlers: StepHandlers = {
    advance: ({ ms }) => this.clock.advance(ms),
    chat: (step) => this.chat(step),
    book: (step) => this.book(step),
    bookAgain: ({ vm, booking }) =>
      this.sendBooking(vm, `booking-${booking}`, `key-${booking}`, RETRY_TIMEOUT_MS),
    reuseKey: ({ vm, booking }) =>
      this.sendBooking(vm, `other-${booking}`, `key-${booking}`, RETRY_TIMEOUT_MS),
    lookUp: ({ vm }) => this.lookUp(vm),
    abandon: ({ caller }) => this.abandon(caller),
    killEntryVm: ({ vm }) => this.world.killEntryVm(this.pickVm(vm)),
    freezeEntryVm: ({ vm }) => this.world.entryVms.get(this.pickVm(vm))?.freeze(),
    drainEntryVm: ({ vm }) => this.world.drainEntryVm(this.pickVm(vm)),
    reviveEntryVm: ({ vm }) => {
      this.world.entryVms.get(this.pickVm(vm))?.wake();
      this.world.startEntryVm(this.pickVm(vm));
    },
    killEndpoint: ({ endpoint }) => this.world.killEndpoint(this.pickEndpoint(endpoint)),
    freezeEndpoint: ({ endpoint }) => this.findMachine(endpoint)?.freeze(),
    reviveEndpoint: ({ endpoint }) => {
      this.findMachine(endpoint)?.wake();
      this.world.restartEndpoint(this.pickEndpoint(endpoint));
    },
    breakProtocol: ({ endpoint, fault }) => {
      const engine = this.world.engines.get(this.pickEndpoint(endpoint));
      if (engine !== undefined) engine.fault = fault;
    },
    askForChange: ({ vm, again }) => this.askForChange(vm, again),
    cut: ({ from, to }) => this.cut(from, to),
    heal: ({ from, to }) => this.world.heal(this.pickPlace(from), this.pickPlace(to)),
    setPlatform: ({ mode }) => this.world.setPlatform(mode),
    commit: () => {
      this.world.commitConfiguration((configuration) => ({
        ...configuration,
        presetInForce: configuration.presetInForce === 'peak' ? 'ordinary' : 'peak',
      }));
    },
  };

  constructor(
    private readonly clock: FakeClock,
    settings: RunSettings,
  ) {
    this.configuration = createSmallConfiguration(settings.enginesPerDomain);
    this.world = new World({
      seed: settings.seed,
      configuration: this.configuration,
      entryVms: createEntryVmPlaces(settings.entryVmsPerDomain),
      network: ROUGH_NETWORK,
      transcriptLines: settings.transcriptLines ?? 0,
    });
    this.vmIds = [...this.world.entryVms.keys()];
    this.endpointIds = [...this.world.engines.keys(), ...this.world.services.keys()];
    this.clock.advance(START_MS);
  }

  run(steps: readonly Step[]): void {
    steps.forEach((step) => {
      const handler = this.handlers[step.kind] as (given: Step) => void;
      handler(step);
    });
    this.settle();
  }

  /** Ends all faults, lets every deadline pass, and checks what must hold then. */
  private settle(): void {
    this.world.healAll();
    this.clock.advance(CONFIGURATION_LIMIT_MS);
    this.world.healAll();
    this.clock.advance(CONFIGURATION_LIMIT_MS);
    this.world.assertConfigurationInForce();
    for (let waitedMs = 0; waitedMs < SETTLE_MS; waitedMs += SETTLE_STEP_MS) {
      if (this.world.isQuiet()) break;
      this.clock.advance(SETTLE_STEP_MS);
    }
    this.world.assertQuiet();
  }

  private chat(step: Extract<Step, { readonly kind: 'chat' }>): void {
    const requestId = this.createRequestId();
    this.world.request(this.pickVm(step.vm), {
      kind: 'model',
      requestId,
      team: 'counter',
      timeoutMs: step.timeoutMs,
      digest: requestId,
      model: 'assistant',
      promptTokens: step.promptTokens,
      maxOutputTokens: step.outputTokens,
      prefixDigests: [],
    });
  }

  private book(step: Extract<Step, { readonly kind: 'book' }>): void {
    if (step.keyed) {
      const { booking, timeoutMs } = step;
      this.sendBooking(step.vm, `booking-${booking}`, `key-${booking}`, timeoutMs);
    } else {
      this.sendBooking(step.vm, `single-${this.nextRequest}`, undefined, step.timeoutMs);
    }
  }

  private sendBooking(
    vm: number,
    digest: string,
    idempotencyKey: string | undefined,
    timeoutMs: number,
  ): void {
    this.world.request(this.pickVm(vm), {
      kind: 'service',
      requestId: this.createRequestId(),
      team: 'office',
      timeoutMs,
      digest,
      service: 'booking',
      idempotency: 'nonIdempotent',
      idempotencyKey,
    });
  }

  private lookUp(vm: number): void {
    const requestId = this.createRequestId();
    this.world.request(this.pickVm(vm), {
      kind: 'service',
      requestId,
      team: 'office',
      timeoutMs: RETRY_TIMEOUT_MS,
      digest: requestId,
      service: 'booking',
      idempotency: 'idempotent',
      idempotencyKey: undefined,
    });
  }

  /** An operator's change on the version that one entry VM has; or the last one once more. */
  private askForChange(vm: number, again: boolean): void {
    const vmId = this.pickVm(vm);
    if (!again || this.lastChange === undefined) {
      const baseVersion = this.world.entryVms.get(vmId)?.configurationVersion ?? 0;
      const presetInForce = this.nextRequest % 2 === 0 ? 'ordinary' : 'peak';
      this.lastChange = {
        changeId: `change-${this.createRequestId()}`,
        baseVersion,
        configuration: { ...this.configuration, presetInForce },
        author: 'operator',
        submittedAtMs: 0,
      };
    }
    this.world.askForChange(vmId, this.lastChange);
  }

  private abandon(caller: number): void {
    const open = this.world.callers.filter(({ outcome }) => outcome === undefined);
    const picked: FakeCaller | undefined = open[caller % Math.max(1, open.length)];
    if (picked !== undefined) this.world.abandon(picked);
  }

  private cut(from: number, to: number): void {
    const [a, b] = [this.pickPlace(from), this.pickPlace(to)];
    if (a === b) return;
    this.world.cut(a, b);
  }

  private findMachine(endpoint: number) {
    const id = this.pickEndpoint(endpoint);
    return (this.world.engines.get(id) ?? this.world.services.get(id))?.machine;
  }

  private createRequestId(): string {
    const requestId = `r${this.nextRequest}`;
    this.nextRequest += 1;
    return requestId;
  }

  private pickVm(index: number): string {
    return this.vmIds[index % this.vmIds.length] ?? '';
  }

  private pickEndpoint(index: number): string {
    return this.endpointIds[index % this.endpointIds.length] ?? '';
  }

  private pickPlace(index: number): Place {
    return this.places[index % this.places.length] ?? PLATFORM_PLACE;
  }
}
