import { PLAIN_POLICY, POLICY } from '@hazellift/decisions'
import type { ComputeShares } from '@hazellift/decisions'
import { describe, expect, it } from 'vitest'
import { simulateQueueBurst } from '../../tests/leased/simulateQueueBurst.js'

/** What all queues could get if each were served the same part of what it asks: a quarter more is asked than can be served. */
const EVEN_SERVED = 1 / 1.25
/** No queue may fare worse than the even part by more than this. */
const MOST_BEHIND = 0.1
const LEAST_SERVED = EVEN_SERVED - MOST_BEHIND
/** The first queue asks for little. */
const LEAST_URGENT_SERVED = 0.94
/** How much worse entries may fare that hear nothing of each other. */
const DISAGREEMENT = 0.05

const servedBy = (entries: number, shares: ComputeShares, seed: number): number[] =>
  [...simulateQueueBurst(entries, shares, seed).queues.values()].map(({ inTime, arrived: asked }) => inTime / asked)
const SEEDS = [{ seed: 1 }, { seed: 5 }, { seed: 6 }, { seed: 7 }]

describe('a burst of the last queue, a quarter over what can be served', () => {
  it.each(SEEDS)('no queue is served far less than the others (seed $seed)', ({ seed }) => {
    const served = servedBy(8, POLICY.shares, seed)
    expect(Math.min(...served)).toBeGreaterThanOrEqual(LEAST_SERVED)
    expect(served[0]).toBeGreaterThanOrEqual(LEAST_URGENT_SERVED)
  })

  it.each(SEEDS)('by priority alone the last queue would be (seed $seed)', ({ seed }) => {
    expect(Math.min(...servedBy(8, PLAIN_POLICY.shares, seed))).toBeLessThan(LEAST_SERVED)
  })

  it.each(SEEDS)('entries that hear nothing of each other do about as well as one that sees all (seed $seed)', ({ seed }) => {
    const [many, one] = [8, 1].map((entries) => Math.min(...servedBy(entries, POLICY.shares, seed)))
    expect(Math.abs(many! - one!)).toBeLessThanOrEqual(DISAGREEMENT)
  })

  it('no room is free while any job waits', () => {
    expect(simulateQueueBurst(8, POLICY.shares, 1).idleSweeps).toBe(0)
  })
})
