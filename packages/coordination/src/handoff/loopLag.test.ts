import { describe, expect, it } from 'vitest'
import { isOverloaded } from '@hazellift/decisions'
import { LoopLag } from './loopLag.js'

const INTERVAL_MS = 25

describe('LoopLag', () => {
  const cases: Array<{ name: string, pauses: number[], isOverloaded: boolean }> = [
    { name: 'an event loop whose timer fires on time is not overloaded', pauses: Array.from({ length: 40 }, () => 0), isOverloaded: false },
    { name: 'an event loop that is a little late each time is not overloaded', pauses: Array.from({ length: 40 }, () => 3), isOverloaded: false },
    { name: 'a single long pause does not make an event loop overloaded', pauses: [0, 0, 900, 0, 0], isOverloaded: false },
    { name: 'an event loop that is late each time is overloaded', pauses: Array.from({ length: 40 }, () => 20), isOverloaded: true },
    { name: 'a process without a processor for two thirds of each 100 ms is overloaded', pauses: Array.from({ length: 60 }, (_, index) => index % 2 === 0 ? 50 : 0), isOverloaded: true }
  ]
  it.each(cases)('$name', ({ pauses, isOverloaded }) => {
    const lag = new LoopLag(INTERVAL_MS)
    let now = 0
    for (const pause of pauses) lag.onTick(now += INTERVAL_MS + pause)
    expect(isOverloaded({ lagMs: lag.ms, waitMs: 0 }, false)).toBe(isOverloaded)
  })
})
