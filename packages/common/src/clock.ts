import { setTimeout as delay } from 'node:timers/promises'

/** Time as the coordination parts see it; tests pass their own. */
export interface Clock {
  /** Monotonic ms; it goes on while the process is paused. */
  now: () => number
  /** Wall clock in ms since 1970, for records that other processes read. */
  wallNow: () => number
  /** Runs `fn` once after `ms`; the result cancels it. */
  after: (ms: number, fn: () => void) => () => void
  /** Resolves after `ms`. */
  sleep: (ms: number) => Promise<void>
}

/** The machine's clock. Its timers do not keep a process alive. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  after: (ms, fn) => {
    const timer = setTimeout(fn, ms)
    timer.unref()
    return () => clearTimeout(timer)
  },
  sleep: async (ms) => { await delay(ms) }
}
