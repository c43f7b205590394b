import { install, type Clock } from '@sinonjs/fake-timers';

/** The paused clock and timers of the runtime; time passes only by `advance`. */
export interface FakeClock {
  advance(ms: number): void;
  uninstall(): void;
}

const MAX_TIMERS_PER_ADVANCE = 10_000_000;

/** Replaces the clock and timers of the runtime in this process until `uninstall` is called. */
export const createFakeClock = (): FakeClock => {
  const clock: Clock = install({
    now: 0,
    loopLimit: MAX_TIMERS_PER_ADVANCE,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
  return {
    advance: (ms) => {
      clock.tick(ms);
    },
    uninstall: () => clock.uninstall(),
  };
};
