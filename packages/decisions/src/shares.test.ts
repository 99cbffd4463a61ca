import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { jobView } from '../tests/views.js'
import { FLOOR_SHARE, UNKNOWN_LOAD, effectivePriority, forecastWait, isBelowFloor, demandPriority, orderJobs, computeShares } from './index.js'
import type { JobView, QueueLoad, QueueShare } from './index.js'

const SEED = 20_261_203
const RUNS = { seed: SEED, numRuns: 200 }

const queueOf = (priority: number, askedMilli: number, more: Partial<QueueLoad> = {}): QueueLoad =>
  ({ priority, arrivedMilli: askedMilli, admittedMilli: askedMilli, startedMilli: askedMilli, refusedMilli: 0, ...more })
const floorsOf = (servedMilli: number, queues: QueueLoad[]): number[] => computeShares(servedMilli, queues).map(({ floorMilli }) => floorMilli)

const queuesArbitrary = fc.uniqueArray(
  fc.record({ priority: fc.nat(9), askedMilli: fc.double({ min: 1, max: 1e6, noNaN: true }) }), { selector: ({ priority }) => priority, minLength: 1, maxLength: 6 })
  .map((asked) => asked.map(({ priority, askedMilli }) => queueOf(priority, askedMilli)))
const servedArbitrary = fc.double({ min: 1, max: 1e6, noNaN: true })

describe('what is kept for a queue', () => {
  const cases: Array<{ name: string, served: number, asked: number[], expected: number[] }> = [
    { name: 'nothing while all can be served', served: 1000, asked: [400, 600], expected: [0, 0] },
    { name: 'under overload the same part of what each asks', served: 500, asked: [400, 600], expected: [200 * FLOOR_SHARE, 300 * FLOOR_SHARE] },
    { name: 'nothing for one that asks for nothing', served: 500, asked: [1000, 0], expected: [500 * FLOOR_SHARE, 0] },
    { name: 'nothing while an entry does not know what it serves', served: Infinity, asked: [400, 600], expected: [0, 0] }
  ]
  it.each(cases)('$name', ({ served, asked, expected }) => {
    expect(floorsOf(served, asked.map((milli, priority) => queueOf(priority, milli)))).toEqual(expected)
  })

  it('floors together are never more than what is served, and none is more than what its queue asks', () => {
    fc.assert(fc.property(servedArbitrary, queuesArbitrary, (served, queues) => {
      const floors = floorsOf(served, queues)
      expect(floors.reduce((sum, floor) => sum + floor, 0)).toBeLessThanOrEqual(served)
      for (const [index, floor] of floors.entries()) expect(floor).toBeLessThanOrEqual(queues[index]!.arrivedMilli)
    }), RUNS)
  })

  it('asking for more never raises the part of it that is kept', () => {
    fc.assert(fc.property(servedArbitrary, queuesArbitrary, fc.double({ min: 1, max: 10, noNaN: true }), (served, queues, times) => {
      const [first, ...others] = queues
      const partOf = (askedMilli: number): number => floorsOf(served, [{ ...first!, arrivedMilli: askedMilli }, ...others])[0]! / askedMilli
      const [honest, greedy] = [partOf(first!.arrivedMilli), partOf(first!.arrivedMilli * times)]
      // Without overload nothing is kept, as nothing is refused.
      if (honest > 0) expect(greedy).toBeLessThanOrEqual(honest * (1 + 1e-9))
    }), RUNS)
  })
})

const shareOf = (priority: number, more: Partial<QueueShare>): QueueShare => ({ ...queueOf(priority, 1000), floorMilli: 0, ...more })

describe('which queues are below their floors', () => {
  const cases: Array<{ name: string, share: Partial<QueueShare>, expected: boolean }> = [
    { name: 'none without overload, whatever was refused', share: { floorMilli: 0, startedMilli: 0, refusedMilli: 1000 }, expected: false },
    { name: 'not one whose jobs wait and are not refused', share: { floorMilli: 900, startedMilli: 100 }, expected: false },
    { name: 'one that was refused more than the floor allows', share: { floorMilli: 800, startedMilli: 700, refusedMilli: 300 }, expected: true },
    { name: 'not one that was refused less', share: { floorMilli: 800, startedMilli: 850, refusedMilli: 150 }, expected: false },
    { name: 'not one that did nothing', share: { floorMilli: 800, startedMilli: 0 }, expected: false }
  ]
  it.each(cases)('$name', ({ share, expected }) => {
    expect(isBelowFloor(shareOf(2, share))).toBe(expected)
  })
})

const BELOW: Partial<QueueShare> = { floorMilli: 800, startedMilli: 500, refusedMilli: 500 }

describe('the order among queues', () => {
  const cases: Array<{ name: string, queues: QueueShare[], dueAt?: number[], expected: number[] }> = [
    { name: 'by priority if none is below its floor', queues: [shareOf(0, {}), shareOf(1, {}), shareOf(2, {})], expected: [0, 1, 2] },
    { name: 'one below its floor goes before others', queues: [shareOf(0, {}), shareOf(1, {}), shareOf(2, BELOW)], expected: [2, 0, 1] },
    { name: 'not before the most urgent one, if that must start sooner', queues: [shareOf(0, {}), shareOf(1, {}), shareOf(2, BELOW)], dueAt: [200, 300, 300], expected: [0, 2, 1] },
    { name: 'the most urgent one is not put back by being below', queues: [shareOf(0, BELOW), shareOf(1, {}), shareOf(2, {})], expected: [0, 1, 2] },
    { name: 'if all are below, who must start sooner goes first', queues: [shareOf(0, BELOW), shareOf(1, BELOW), shareOf(2, BELOW)], dueAt: [300, 200, 250], expected: [1, 2, 0] }
  ]
  it.each(cases)('$name', ({ queues, dueAt = [], expected }) => {
    const jobs = [2, 1, 0].map((priority) => jobView({ priority, dueAt: dueAt[priority] ?? 200 }))
    expect(orderJobs(jobs, 0, { servedMilli: 2000, queues }).map(({ priority }) => priority)).toEqual(expected)
  })

  it('leaves out no job, so that room is never kept for a queue without work', () => {
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

  it('nothing is known: by priority', () => {
    expect([effectivePriority, demandPriority].map((priorityOf) => priorityOf(UNKNOWN_LOAD.queues)(3))).toEqual([3, 3])
  })

  const offered = [
    { name: 'an entry asks for room right behind the most urgent queue if another one is below', below: 4, expected: [0, 2, 1] },
    { name: 'the most urgent one asks as it is', below: 0, expected: [0, 2, 4] }
  ]
  it.each(offered)('$name', ({ below, expected }) => {
    const priorities = [0, 2, 4]
    const queues = priorities.map((priority) => shareOf(priority, priority === below ? BELOW : {}))
    expect(priorities.map(demandPriority(queues))).toEqual(expected)
  })
})

describe('how long a job waits by shares', () => {
  const load = (mine: Partial<QueueShare>) => ({ servedMilli: 1000, queues: [shareOf(0, { admittedMilli: 500 }), shareOf(1, mine)] })
  const cases: Array<{ name: string, mine: Partial<QueueShare>, expected: number }> = [
    { name: 'for all that is ahead, by what more urgent work leaves', mine: {}, expected: 200 },
    { name: 'below its floor only for its own queue', mine: { floorMilli: 400, startedMilli: 1, refusedMilli: 999 }, expected: 100 },
    { name: 'not longer than by priority', mine: { floorMilli: 10, startedMilli: 1, refusedMilli: 999 }, expected: 200 }
  ]
  it.each(cases)('$name', ({ mine, expected }) => {
    expect(forecastWait({ all: 100_000, own: 40_000 }, 1, load(mine))).toBe(expected)
  })
})
