import { describe, expect, it } from 'vitest'
import { OverloadWatch } from './overloadWatch.js'

const SHORT = { lagMs: 40, waitMs: 0, returnedShare: 0 }
const CALM = { lagMs: 0, waitMs: 0, returnedShare: 0 }
const LOOK_MS = 25

/** Looks at a pace until this moment, all the time the same. */
const lookUntil = (watch: OverloadWatch, own: typeof SHORT, from: number, until: number, act = (_now: number) => {}): void => {
  for (let now = from; now <= until; now += LOOK_MS) {
    watch.observe(own, now)
    act(now)
  }
}

describe('running short', () => {
  const cases: Array<{ name: string, own: typeof SHORT, until: number, expected: boolean }> = [
    { name: 'a calm entry is not', own: CALM, until: 1000, expected: false },
    { name: 'nor one that was late for a moment', own: SHORT, until: 250, expected: false },
    { name: 'one that stays late is', own: SHORT, until: 400, expected: true },
    { name: 'where nothing can be handed on it asks nobody any more', own: SHORT, until: 2500, expected: false },
    { name: 'for a while', own: SHORT, until: 11_000, expected: false },
    { name: 'then it tries again', own: SHORT, until: 13_000, expected: true }
  ]
  it.each(cases)('$name', ({ own, until, expected }) => {
    const watch = new OverloadWatch()
    lookUntil(watch, own, 0, until)
    expect(watch.needsStreams(until)).toBe(expected)
  })

  it('streams that are of use stand while it is short, and some seconds more', () => {
    const watch = new OverloadWatch()
    lookUntil(watch, SHORT, 0, 8000, (now) => { if (now % 1000 === 0) watch.onHandedOn(now) })
    expect(watch.needsStreams(8000)).toBe(true)
    lookUntil(watch, CALM, 8025, 12_000)
    expect([watch.isOverloaded(12_000), watch.needsStreams(12_000)]).toEqual([false, true])
    lookUntil(watch, CALM, 12_025, 14_000)
    expect(watch.needsStreams(14_000)).toBe(false)
  })
})
