import { describe, expect, it } from 'vitest'
import { isOverloaded } from '@hazellift/decisions'
import { LoopLag } from './loopLag.js'

const PACE_MS = 25

describe('how late an event loop is', () => {
  const cases: Array<{ name: string, pauses: number[], isShort: boolean }> = [
    { name: 'a timer on time', pauses: Array.from({ length: 40 }, () => 0), isShort: false },
    { name: 'a little late each time', pauses: Array.from({ length: 40 }, () => 3), isShort: false },
    { name: 'one long pause', pauses: [0, 0, 900, 0, 0], isShort: false },
    { name: 'late each time', pauses: Array.from({ length: 40 }, () => 20), isShort: true },
    { name: 'a processor that is taken away for two thirds of each tenth of a second', pauses: Array.from({ length: 60 }, (_, index) => index % 2 === 0 ? 50 : 0), isShort: true }
  ]
  it.each(cases)('$name', ({ pauses, isShort }) => {
    const lag = new LoopLag(PACE_MS)
    let now = 0
    for (const pause of pauses) lag.onTick(now += PACE_MS + pause)
    expect(isOverloaded({ lagMs: lag.ms, waitMs: 0 }, false)).toBe(isShort)
  })
})
