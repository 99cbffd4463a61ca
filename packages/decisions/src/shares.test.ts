import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { jobView } from '../tests/views.js'
import { FLOOR_SHARE, UNKNOWN_LOAD, computeShares, demandPriority, effectivePriority, forecastWait, isBelowFloor, orderJobs } from './index.js'
import type { JobView, QueueLoad, QueueShare } from './index.js'

const SEED = 20_261_203
const RUNS = { seed: SEED, numRuns: 200 }

const queueOf = (priority: number, arrivedMilli: number, overrides: Partial<QueueLoad> = {}): QueueLoad =>
  ({ priority, arrivedMilli, admittedMilli: arrivedMilli, startedMilli: arrivedMilli, refusedMilli: 0, ...overrides })
const floorsOf = (servedMilli: number, queues: QueueLoad[]): number[] => computeShares(servedMilli, queues).map(({ floorMilli }) => floorMilli)

const queuesArbitrary = fc.uniqueArray(
  fc.record({ priority: fc.nat(9), arrivedMilli: fc.double({ min: 1, max: 1e6, noNaN: true }) }), { selector: ({ priority }) => priority, minLength: 1, maxLength: 6 })
  .map((queues) => queues.map(({ priority, arrivedMilli }) => queueOf(priority, arrivedMilli)))
const servedArbitrary = fc.double({ min: 1, max: 1e6, noNaN: true })

describe('computeShares', () => {
  const cases: Array<{ name: string, servedMilli: number, arrivedMilli: number[], expected: number[] }> = [
    { name: 'floors are 0 while all work can be served', servedMilli: 1000, arrivedMilli: [400, 600], expected: [0, 0] },
    { name: 'under overload each queue has the same fraction of its arrivals as its floor', servedMilli: 500, arrivedMilli: [400, 600], expected: [200 * FLOOR_SHARE, 300 * FLOOR_SHARE] },
    { name: 'a queue without arrivals has no floor', servedMilli: 500, arrivedMilli: [1000, 0], expected: [500 * FLOOR_SHARE, 0] },
    { name: 'floors are 0 while an entry does not know what it serves', servedMilli: Infinity, arrivedMilli: [400, 600], expected: [0, 0] }
  ]
  it.each(cases)('$name', ({ servedMilli, arrivedMilli, expected }) => {
    expect(floorsOf(servedMilli, arrivedMilli.map((milli, priority) => queueOf(priority, milli)))).toEqual(expected)
  })

  it('the sum of floors never exceeds what is served, and no floor exceeds its queue\'s arrivals', () => {
    fc.assert(fc.property(servedArbitrary, queuesArbitrary, (served, queues) => {
      const floors = floorsOf(served, queues)
      expect(floors.reduce((sum, floor) => sum + floor, 0)).toBeLessThanOrEqual(served)
      for (const [index, floor] of floors.entries()) expect(floor).toBeLessThanOrEqual(queues[index]!.arrivedMilli)
    }), RUNS)
  })

  it('submitting more never raises a queue\'s floor as a fraction of its arrivals', () => {
    fc.assert(fc.property(servedArbitrary, queuesArbitrary, fc.double({ min: 1, max: 10, noNaN: true }), (served, queues, factor) => {
      const [first, ...others] = queues
      const fractionOf = (arrivedMilli: number): number => floorsOf(served, [{ ...first!, arrivedMilli }, ...others])[0]! / arrivedMilli
      const [before, after] = [fractionOf(first!.arrivedMilli), fractionOf(first!.arrivedMilli * factor)]
      // Without overload there are no floors, as nothing is refused.
      if (before > 0) expect(after).toBeLessThanOrEqual(before * (1 + 1e-9))
    }), RUNS)
  })
})

const shareOf = (priority: number, overrides: Partial<QueueShare>): QueueShare => ({ ...queueOf(priority, 1000), floorMilli: 0, ...overrides })

describe('isBelowFloor', () => {
  const cases: Array<{ name: string, share: Partial<QueueShare>, expected: boolean }> = [
    { name: 'without overload no queue is below its floor, whatever was refused', share: { floorMilli: 0, startedMilli: 0, refusedMilli: 1000 }, expected: false },
    { name: 'a queue whose jobs wait and are not refused is not below', share: { floorMilli: 900, startedMilli: 100 }, expected: false },
    { name: 'a queue that had more refused than its floor allows is below', share: { floorMilli: 800, startedMilli: 700, refusedMilli: 300 }, expected: true },
    { name: 'a queue that had less refused is not below', share: { floorMilli: 800, startedMilli: 850, refusedMilli: 150 }, expected: false },
    { name: 'a queue of which nothing was started or refused is not below', share: { floorMilli: 800, startedMilli: 0 }, expected: false }
  ]
  it.each(cases)('$name', ({ share, expected }) => {
    expect(isBelowFloor(shareOf(2, share))).toBe(expected)
  })
})

const BELOW: Partial<QueueShare> = { floorMilli: 800, startedMilli: 500, refusedMilli: 500 }

describe('order among queues', () => {
  const cases: Array<{ name: string, queues: QueueShare[], dueAt?: number[], expected: number[] }> = [
    { name: 'with no queue below its floor, priority decides', queues: [shareOf(0, {}), shareOf(1, {}), shareOf(2, {})], expected: [0, 1, 2] },
    { name: 'a queue below its floor goes before others', queues: [shareOf(0, {}), shareOf(1, {}), shareOf(2, BELOW)], expected: [2, 0, 1] },
    { name: 'the most urgent queue still goes first if its job must start sooner', queues: [shareOf(0, {}), shareOf(1, {}), shareOf(2, BELOW)], dueAt: [200, 300, 300], expected: [0, 2, 1] },
    { name: 'the most urgent queue keeps its priority when it is below its floor', queues: [shareOf(0, BELOW), shareOf(1, {}), shareOf(2, {})], expected: [0, 1, 2] },
    { name: 'with all queues below their floors, the job that must start sooner goes first', queues: [shareOf(0, BELOW), shareOf(1, BELOW), shareOf(2, BELOW)], dueAt: [300, 200, 250], expected: [1, 2, 0] }
  ]
  it.each(cases)('$name', ({ queues, dueAt = [], expected }) => {
    const jobs = [2, 1, 0].map((priority) => jobView({ priority, dueAt: dueAt[priority] ?? 200 }))
    expect(orderJobs(jobs, 0, { servedMilli: 2000, queues }).map(({ priority }) => priority)).toEqual(expected)
  })

  it('no job is left out, so that capacity is never reserved for a queue without work', () => {
    const jobs = fc.array(fc.record({ priority: fc.nat(4), dueAt: fc.integer({ min: 0, max: 1000 }), mayHaveRun: fc.nat(2) }))
    fc.assert(fc.property(jobs, fc.array(fc.boolean(), { minLength: 5, maxLength: 5 }), (views, below) => {
      const queues = below.map((isBelow, priority) => shareOf(priority, isBelow ? BELOW : {}))
      const waiting = views.map((view) => jobView(view))
      expect(new Set(orderJobs(waiting, 500, { servedMilli: 1, queues }))).toEqual(new Set(waiting))
    }), RUNS)
  })

  it('a late job of a queue below its floor goes behind those that can be in time', () => {
    const queues = [shareOf(0, {}), shareOf(1, BELOW)]
    const jobs: JobView[] = [jobView({ priority: 1, dueAt: 100 }), jobView({ priority: 0 })]
    expect(orderJobs(jobs, 50, { servedMilli: 1000, queues }).map(({ priority }) => priority)).toEqual([0, 1])
  })

  it('with an unknown load, priorities stay as they are', () => {
    expect([effectivePriority, demandPriority].map((priorityOf) => priorityOf(UNKNOWN_LOAD.queues)(3))).toEqual([3, 3])
  })

  const demandCases = [
    { name: 'the demand of a queue below its floor comes right after that of the most urgent one', below: 4, expected: [0, 2, 1] },
    { name: 'the demand of the most urgent queue stays first when it is below its floor', below: 0, expected: [0, 2, 4] }
  ]
  it.each(demandCases)('$name', ({ below, expected }) => {
    const priorities = [0, 2, 4]
    const queues = priorities.map((priority) => shareOf(priority, priority === below ? BELOW : {}))
    expect(priorities.map(demandPriority(queues))).toEqual(expected)
  })
})

describe('forecastWait', () => {
  const load = (own: Partial<QueueShare>) => ({ servedMilli: 1000, queues: [shareOf(0, { admittedMilli: 500 }), shareOf(1, own)] })
  const cases: Array<{ name: string, own: Partial<QueueShare>, expected: number }> = [
    { name: 'a job waits for all work ahead of it, served at the rate that more urgent work leaves', own: {}, expected: 200 },
    { name: 'a job of a queue below its floor waits for its own queue only', own: { floorMilli: 400, startedMilli: 1, refusedMilli: 999 }, expected: 100 },
    { name: 'a job of a queue with a low floor waits no longer than by priority', own: { floorMilli: 10, startedMilli: 1, refusedMilli: 999 }, expected: 200 }
  ]
  it.each(cases)('$name', ({ own, expected }) => {
    expect(forecastWait({ all: 100_000, own: 40_000 }, 1, load(own))).toBe(expected)
  })
})
