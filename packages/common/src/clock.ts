import { uptime } from 'node:os'
import { setTimeout as delay } from 'node:timers/promises'

/** The clocks and timers that coordination code uses; tests replace them. */
export interface Clock {
  /** Steady (monotonic) clock in ms. It advances while the process is paused, but not while the whole system is suspended. */
  now: () => number
  /** Wall clock in ms since the Unix epoch, for records that other processes read. */
  wallNow: () => number
  /** Ms since the system booted, including suspended time, in coarse steps; undefined where it cannot be read. */
  bootNow?: () => number | undefined
  /** Runs `fn` once after `ms`; the returned function cancels it. */
  after: (ms: number, fn: () => void) => () => void
  /** Resolves after `ms`. */
  sleep: (ms: number) => Promise<void>
}

const readUptime = (): number | undefined => {
  try {
    return uptime() * 1000
  } catch {
    return undefined
  }
}

/** The clocks and timers of the machine. Timers set with `after` do not keep the process alive. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  bootNow: readUptime,
  after: (ms, fn) => {
    const timer = setTimeout(fn, ms)
    timer.unref()
    return () => clearTimeout(timer)
  },
  sleep: async (ms) => { await delay(ms) }
}
