/** State of a process; `suspended` is the state after SIGSTOP. */
export type ProcessState = 'running' | 'suspended' | 'dead';

/** Actions beyond this number are dropped while the process is suspended. */
const MAX_PENDING_ACTIONS = 10_000;

/** Process state; actions are queued while the process is suspended and dropped while it is dead. */
export class FakeProcess {
  private currentState: ProcessState = 'running';

  private pendingActions: (() => void)[] = [];

  get state(): ProcessState {
    return this.currentState;
  }

  /** Runs or queues an action; returns false if the process is dead. */
  run(action: () => void): boolean {
    if (this.currentState === 'dead') return false;
    if (this.currentState === 'running') action();
    else if (this.pendingActions.length < MAX_PENDING_ACTIONS) this.pendingActions.push(action);
    return true;
  }

  suspend(): void {
    if (this.currentState === 'running') this.currentState = 'suspended';
  }

  resume(): void {
    if (this.currentState !== 'suspended') return;
    this.currentState = 'running';
    const { pendingActions } = this;
    this.pendingActions = [];
    pendingActions.forEach((action) => this.run(action));
  }

  kill(): void {
    this.currentState = 'dead';
    this.pendingActions = [];
  }

  restart(): void {
    this.currentState = 'running';
    this.pendingActions = [];
  }
}
