import { PLAIN_POLICY, POLICY } from '@hazellift/decisions'
import type { ComputeShares } from '@hazellift/decisions'
import { describe, expect, it } from 'vitest'
import { simulateQueueBurst } from '../../tests/leased/simulateQueueBurst.js'

/** Share of its arrivals that each queue would get if all were served the same share: 25% more work arrives than can be served. */
const EVEN_SHARE = 1 / 1.25
/** No queue may be served less than the even share by more than this. */
const MAX_BEHIND = 0.1
const MIN_SERVED = EVEN_SHARE - MAX_BEHIND
/** The most urgent queue has little work and must get nearly all of it. */
const MIN_FIRST_SERVED = 0.94
/** Largest difference in the share of the queue served least, between entries that know nothing of each other and a single entry. */
const MAX_DIFFERENCE = 0.05

const servedBy = (entries: number, shares: ComputeShares, seed: number): number[] =>
  [...simulateQueueBurst(entries, shares, seed).queues.values()].map(({ inTime, arrived }) => inTime / arrived)
const SEEDS = [{ seed: 1 }, { seed: 5 }, { seed: 6 }, { seed: 7 }]

describe('a burst of the least urgent queue to 25% over capacity', () => {
  it.each(SEEDS)('serves no queue far less than the others (seed $seed)', ({ seed }) => {
    const served = servedBy(8, POLICY.shares, seed)
    expect(Math.min(...served)).toBeGreaterThanOrEqual(MIN_SERVED)
    expect(served[0]).toBeGreaterThanOrEqual(MIN_FIRST_SERVED)
  })

  it.each(SEEDS)('serves the least urgent queue far less with priorities alone (seed $seed)', ({ seed }) => {
    expect(Math.min(...servedBy(8, PLAIN_POLICY.shares, seed))).toBeLessThan(MIN_SERVED)
  })

  it.each(SEEDS)('serves about the same with entries that know nothing of each other as with a single one (seed $seed)', ({ seed }) => {
    const [many, one] = [8, 1].map((entries) => Math.min(...servedBy(entries, POLICY.shares, seed)))
    expect(Math.abs(many! - one!)).toBeLessThanOrEqual(MAX_DIFFERENCE)
  })

  it('leaves no capacity free while a job waits', () => {
    expect(simulateQueueBurst(8, POLICY.shares, 1).idleSweeps).toBe(0)
  })
})
