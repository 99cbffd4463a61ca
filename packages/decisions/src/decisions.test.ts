import { describe, expect, it } from 'vitest'
import { jobView } from '../tests/views.js'
import { shed, shedAt, isScarce, moveRun, offerCapacity, eject } from './index.js'
import type { EndpointRecordView, RunView, CurrentOffer, EntryDemand } from './index.js'

describe('shed', () => {
  const times = [
    { name: 'the shed time is the last at which the answer can come within one and a half times the objective', deadlineMs: 5000, expected: 200 },
    { name: 'the shed time is earlier for a caller that does not wait that long', deadlineMs: 300, expected: 135 }
  ]
  it.each(times)('$name', ({ deadlineMs, expected }) => {
    expect(shedAt({ arrivedAt: 0, objectiveMs: 200, expectedMs: 100, deadlineMs })).toBe(expected)
  })

  const cases = [
    { name: 'a job is kept until its shed time', now: 200, mayHaveRun: 0, waitMs: 0, expected: false },
    { name: 'a job is shed after its shed time', now: 201, mayHaveRun: 0, waitMs: 0, expected: true },
    { name: 'a job that will wait beyond its shed time is shed at once', now: 100, mayHaveRun: 0, waitMs: 101, expected: true },
    { name: 'a job of which a task has begun is kept', now: 201, mayHaveRun: 1, waitMs: 0, expected: false }
  ]
  it.each(cases)('$name', ({ now, mayHaveRun, waitMs, expected }) => {
    expect(shed(jobView({ mayHaveRun }), now, waitMs)).toBe(expected)
  })
})

describe('offerCapacity', () => {
  const demand = (incarnation: string, priority: number, servedAt: number): EntryDemand => ({ incarnation, priority, lastServe: servedAt })
  const cases: Array<{ name: string, demands: EntryDemand[], current?: CurrentOffer, expected: string | undefined }> = [
    { name: 'without demand nobody gets the offer', demands: [], expected: undefined },
    { name: 'the entry with the most urgent task gets the offer', demands: [demand('a', 1, 0), demand('b', 0, 9)], expected: 'b' },
    { name: 'among equals the entry served longest ago gets the offer', demands: [demand('a', 0, 2), demand('b', 0, 1)], expected: 'b' },
    { name: 'the current holder keeps the offer for a moment', demands: [demand('a', 1, 2), demand('b', 0, 1)], current: { holder: 'a', offeredAt: 95 }, expected: 'a' },
    { name: 'after that moment the next entry gets the offer', demands: [demand('a', 1, 2), demand('b', 0, 1)], current: { holder: 'a', offeredAt: 80 }, expected: 'b' }
  ]
  it.each(cases)('$name', ({ demands, current = { holder: undefined, offeredAt: -Infinity }, expected }) => {
    expect(offerCapacity(demands, current, 100)).toBe(expected)
  })

  const scarcity = [{ free: 2400, expected: true }, { free: 2500, expected: false }]
  it.each(scarcity)('$free of 10,000 free is scarce: $expected', ({ free, expected }) => {
    expect(isScarce({ cpuMilli: free, memoryMb: 1 }, { cpuMilli: 10_000, memoryMb: 1 })).toBe(expected)
  })
})

describe('moveRun', () => {
  const run: RunView = { elapsedMs: 0, expectedMs: 200, longestRunMs: 0, usualMs: 100, slowness: 1 }
  const cases: Array<{ name: string, overrides: Partial<RunView>, expected: boolean }> = [
    { name: 'a run of more than twice its time at a normal endpoint stays', overrides: { elapsedMs: 500 }, expected: false },
    { name: 'a run of four times its time is moved from any endpoint', overrides: { elapsedMs: 800 }, expected: true },
    { name: 'a run of twice its time at a slow endpoint is moved', overrides: { elapsedMs: 400, slowness: 1.5 }, expected: true },
    { name: 'a run stays if another task of its job took long, too', overrides: { elapsedMs: 800, longestRunMs: 300 }, expected: false },
    { name: 'a short run of many times its time stays while it exceeds that by little', overrides: { elapsedMs: 120, expectedMs: 20, usualMs: 20 }, expected: false }
  ]
  it.each(cases)('$name', ({ overrides, expected }) => {
    expect(moveRun({ ...run, ...overrides })).toBe(expected)
  })
})

describe('eject', () => {
  const record = (failureShare: number, samples = 9, isHealthy = true): EndpointRecordView => ({ failureShare, samples, isHealthy })
  const cases = [
    { name: 'an endpoint that fails far more than its peers is ejected', endpoint: record(0.6), peers: [record(0.1)], expected: true },
    { name: 'an endpoint whose peers fail about as often stays', endpoint: record(0.6), peers: [record(0.5)], expected: false },
    { name: 'an endpoint with too few samples stays', endpoint: record(1, 2), peers: [record(0)], expected: false },
    { name: 'an endpoint that fails occasionally stays', endpoint: record(0.3), peers: [record(0)], expected: false },
    { name: 'an endpoint without healthy peers stays', endpoint: record(1), peers: [record(1, 9, false)], expected: false }
  ]
  it.each(cases)('$name', ({ endpoint, peers, expected }) => {
    expect(eject(endpoint, peers)).toBe(expected)
  })
})
