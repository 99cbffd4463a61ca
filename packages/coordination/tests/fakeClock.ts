import type { Clock } from '@hazellift/common'

/** A clock that a test moves. */
export interface FakeClock extends Clock {
  /** Moves time on and runs what is due, in order. */
  advance: (ms: number) => void
}

interface Timer {
  at: number
  fn: () => void
}

/** A clock at 0 whose timers run only when it is advanced. */
export const createFakeClock = (): FakeClock => {
  let now = 0
  const timers = new Set<Timer>()
  const after = (ms: number, fn: () => void): (() => void) => {
    const timer = { at: now + ms, fn }
    timers.add(timer)
    return () => { timers.delete(timer) }
  }
  const next = (until: number): Timer | undefined =>
    [...timers].filter(({ at }) => at <= until).sort((a, b) => a.at - b.at)[0]
  return {
    now: () => now,
    wallNow: () => now,
    after,
    sleep: (ms) => new Promise((resolve) => { after(ms, resolve) }),
    advance: (ms) => {
      const until = now + ms
      for (let timer = next(until); timer !== undefined; timer = next(until)) {
        timers.delete(timer)
        now = Math.max(now, timer.at)
        timer.fn()
      }
      now = until
    }
  }
}
