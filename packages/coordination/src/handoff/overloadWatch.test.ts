import { describe, expect, it } from 'vitest'
import { OverloadWatch } from './overloadWatch.js'

const OVERLOADED = { lagMs: 40, waitMs: 0, returnedShare: 0 }
const IDLE = { lagMs: 0, waitMs: 0, returnedShare: 0 }
const INTERVAL_MS = 25

/** Observes the same load at a regular interval, from one time until another. */
const observeUntil = (watch: OverloadWatch, ownLoad: typeof OVERLOADED, from: number, until: number, onStep = (_now: number) => {}): void => {
  for (let now = from; now <= until; now += INTERVAL_MS) {
    watch.observe(ownLoad, now)
    onStep(now)
  }
}

describe('OverloadWatch', () => {
  const cases: Array<{ name: string, ownLoad: typeof OVERLOADED, until: number, expected: boolean }> = [
    { name: 'an entry that is not overloaded needs no streams', ownLoad: IDLE, until: 1000, expected: false },
    { name: 'an entry that has been overloaded for 250 ms needs no streams yet', ownLoad: OVERLOADED, until: 250, expected: false },
    { name: 'an entry that has been overloaded for 400 ms needs streams', ownLoad: OVERLOADED, until: 400, expected: true },
    { name: 'an entry that could hand nothing on for more than 2 s needs streams no more', ownLoad: OVERLOADED, until: 2500, expected: false },
    { name: 'an entry that could hand nothing on does not try again within 10 s', ownLoad: OVERLOADED, until: 11_000, expected: false },
    { name: 'an entry that could hand nothing on tries again after 10 s if it is still overloaded', ownLoad: OVERLOADED, until: 13_000, expected: true }
  ]
  it.each(cases)('$name', ({ ownLoad, until, expected }) => {
    const watch = new OverloadWatch()
    observeUntil(watch, ownLoad, 0, until)
    expect(watch.needsStreams(until)).toBe(expected)
  })

  it('streams on which jobs are handed on stay needed during the overload and for some seconds after it', () => {
    const watch = new OverloadWatch()
    observeUntil(watch, OVERLOADED, 0, 8000, (now) => { if (now % 1000 === 0) watch.onHandedOn(now) })
    expect(watch.needsStreams(8000)).toBe(true)
    observeUntil(watch, IDLE, 8025, 12_000)
    expect([watch.isOverloaded(12_000), watch.needsStreams(12_000)]).toEqual([false, true])
    observeUntil(watch, IDLE, 12_025, 14_000)
    expect(watch.needsStreams(14_000)).toBe(false)
  })
})
