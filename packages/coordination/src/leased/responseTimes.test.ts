import { describe, expect, it } from 'vitest'
import { MAX_LIMIT_MS, ResponseTimes } from './responseTimes.js'

/** Response times in ms; `undefined` for calls without an answer. */
type Calls = Array<number | undefined>

const limitAfter = (calls: Calls): number => {
  const times = new ResponseTimes()
  for (const ms of calls) {
    if (ms === undefined) times.onLost()
    else times.observe(ms)
  }
  return times.limitMs
}

describe('time limit for answers', () => {
  const exact: Array<{ name: string, calls: Calls, limitMs: number }> = [
    { name: 'before the first call', calls: [], limitMs: 30 },
    { name: 'before the first answer, after a lost call', calls: [undefined], limitMs: 60 },
    { name: 'before the first answer, after many lost calls', calls: Array(9).fill(undefined), limitMs: MAX_LIMIT_MS },
    { name: 'after a first answer', calls: [20], limitMs: 60 },
    { name: 'after fast answers', calls: Array(50).fill(1), limitMs: 10 },
    { name: 'after fast answers and lost calls', calls: [...Array(50).fill(1), ...Array(9).fill(undefined)], limitMs: 10 },
    { name: 'after answers slower than the upper bound', calls: Array(50).fill(2 * MAX_LIMIT_MS), limitMs: MAX_LIMIT_MS }
  ]
  it.each(exact)('$name: $limitMs ms', ({ calls, limitMs }) => {
    expect(limitAfter(calls)).toBe(limitMs)
  })

  const slower = [{ toMs: 15 }, { toMs: 50 }, { toMs: 85 }]
  it.each(slower)('exceeds $toMs ms after a single answer that slow, after fast ones', ({ toMs }) => {
    expect(limitAfter([...Array(50).fill(1), toMs])).toBeGreaterThan(toMs)
  })
})
