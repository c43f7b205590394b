/** Whether a process runs, is stopped by a signal, or has ended. */
export type MachineState = 'running' | 'frozen' | 'dead';

const MAX_HELD = 10_000;

/** Life of a fake process: what reaches it while it is frozen waits, while it is dead is lost. */
export class FakeMachine {
  private current: MachineState = 'running';

  private held: (() => void)[] = [];

  get state(): MachineState {
    return this.current;
  }

  /** Runs an action on this machine; says whether the machine took it, now or for later. */
  run(action: () => void): boolean {
    if (this.current === 'dead') return false;
    if (this.current === 'running') action();
    else if (this.held.length < MAX_HELD) this.held.push(action);
    return true;
  }

  freeze(): void {
    if (this.current === 'running') this.current = 'frozen';
  }

  wake(): void {
    if (this.current !== 'frozen') return;
    this.current = 'running';
    const { held } = this;
    this.held = [];
    held.forEach((action) => this.run(action));
  }

  kill(): void {
    this.current = 'dead';
    this.held = [];
  }

  restart(): void {
    this.current = 'running';
    this.held = [];
  }
}
