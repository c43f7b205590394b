import { install, type Clock } from '@sinonjs/fake-timers';

/** The runtime's clock, paused; time passes only by `advance`. */
export interface FakeClock {
  advance(ms: number): void;
  uninstall(): void;
}

const MAX_TIMERS_PER_TURN = 10_000_000;

/** Pauses the clock of the runtime for this process. */
export const createFakeClock = (): FakeClock => {
  const clock: Clock = install({
    now: 0,
    loopLimit: MAX_TIMERS_PER_TURN,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  return {
    advance: (ms) => {
      clock.tick(ms);
    },
    uninstall: () => clock.uninstall(),
  };
};
