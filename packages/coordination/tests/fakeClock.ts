import type { Clock } from '@hazellift/common'

/** A clock that a test advances. Its wall clock equals its steady clock. */
export interface FakeClock extends Clock {
  /** Advances time, and runs the timers that fall due in order of time. */
  advance: (ms: number) => void
}

interface Timer {
  at: number
  fn: () => void
}

/** Creates a clock that starts at 0 and runs timers only in `advance`. */
export const createFakeClock = (): FakeClock => {
  let now = 0
  const timers = new Set<Timer>()
  const after = (ms: number, fn: () => void): (() => void) => {
    const timer = { at: now + ms, fn }
    timers.add(timer)
    return () => { timers.delete(timer) }
  }
  const nextDue = (until: number): Timer | undefined =>
    [...timers].filter(({ at }) => at <= until).sort((a, b) => a.at - b.at)[0]
  return {
    now: () => now,
    wallNow: () => now,
    after,
    sleep: (ms) => new Promise((resolve) => { after(ms, resolve) }),
    advance: (ms) => {
      const until = now + ms
      for (let timer = nextDue(until); timer !== undefined; timer = nextDue(until)) {
        timers.delete(timer)
        now = Math.max(now, timer.at)
        timer.fn()
      }
      now = until
    }
  }
}
