import { describe, expect, it } from 'vitest'
import { jobView } from '../tests/views.js'
import { shed, shedAt, isScarce, moveRun, offerCapacity, eject } from './index.js'
import type { EndpointRecordView, RunView, CurrentOffer, EntryDemand } from './index.js'

describe('when a job is given up', () => {
  const times = [
    { name: 'when its answer could only come after one and a half times the objective', deadlineMs: 5000, expected: 200 },
    { name: 'sooner if its caller does not wait that long', deadlineMs: 300, expected: 135 }
  ]
  it.each(times)('$name', ({ deadlineMs, expected }) => {
    expect(shedAt({ arrivedAt: 0, objectiveMs: 200, expectedMs: 100, deadlineMs })).toBe(expected)
  })

  const cases = [
    { name: 'not before its time', now: 200, mayHaveRun: 0, waitMs: 0, expected: false },
    { name: 'after its time', now: 201, mayHaveRun: 0, waitMs: 0, expected: true },
    { name: 'as soon as it will wait beyond its time', now: 100, mayHaveRun: 0, waitMs: 101, expected: true },
    { name: 'not once a task has begun', now: 201, mayHaveRun: 1, waitMs: 0, expected: false }
  ]
  it.each(cases)('$name', ({ now, mayHaveRun, waitMs, expected }) => {
    expect(shed(jobView({ mayHaveRun }), now, waitMs)).toBe(expected)
  })
})

describe('who hears of scarce room', () => {
  const entry = (incarnation: string, priority: number, servedAt: number): EntryDemand => ({ incarnation, priority, servedAt })
  const cases: Array<{ name: string, wanting: EntryDemand[], turn?: CurrentOffer, expected: string | undefined }> = [
    { name: 'nobody if none wants it', wanting: [], expected: undefined },
    { name: 'the one with the most urgent task', wanting: [entry('a', 1, 0), entry('b', 0, 9)], expected: 'b' },
    { name: 'of equals the one that was served longest ago', wanting: [entry('a', 0, 2), entry('b', 0, 1)], expected: 'b' },
    { name: 'the one whose turn it is, for a moment', wanting: [entry('a', 1, 2), entry('b', 0, 1)], turn: { holder: 'a', offeredAt: 95 }, expected: 'a' },
    { name: 'the next one after that moment', wanting: [entry('a', 1, 2), entry('b', 0, 1)], turn: { holder: 'a', offeredAt: 80 }, expected: 'b' }
  ]
  it.each(cases)('$name', ({ wanting, turn = { holder: undefined, offeredAt: -Infinity }, expected }) => {
    expect(offerCapacity(wanting, turn, 100)).toBe(expected)
  })

  const scarcity = [{ free: 2400, expected: true }, { free: 2500, expected: false }]
  it.each(scarcity)('$free of 10,000 is scarce: $expected', ({ free, expected }) => {
    expect(isScarce({ cpuMilli: free, memoryMb: 1 }, { cpuMilli: 10_000, memoryMb: 1 })).toBe(expected)
  })
})

describe('which runs are moved', () => {
  const run: RunView = { elapsedMs: 0, expectedMs: 200, longestRunMs: 0, usualMs: 100, slowness: 1 }
  const cases: Array<{ name: string, more: Partial<RunView>, expected: boolean }> = [
    { name: 'not one of twice its time at a sound endpoint', more: { elapsedMs: 500 }, expected: false },
    { name: 'one of four times its time anywhere', more: { elapsedMs: 800 }, expected: true },
    { name: 'one of twice its time at a slow endpoint', more: { elapsedMs: 400, slowness: 1.5 }, expected: true },
    { name: 'not one as long as another task of its job was', more: { elapsedMs: 800, longestRunMs: 300 }, expected: false },
    { name: 'not one that is longer by a little only', more: { elapsedMs: 120, expectedMs: 20, usualMs: 20 }, expected: false }
  ]
  it.each(cases)('$name', ({ more, expected }) => {
    expect(moveRun({ ...run, ...more })).toBe(expected)
  })
})

describe('which endpoints are set aside', () => {
  const record = (failureShare: number, samples = 9, isHealthy = true): EndpointRecordView => ({ failureShare, samples, isHealthy })
  const cases = [
    { name: 'one that fails far more than its peers', of: record(0.6), peers: [record(0.1)], expected: true },
    { name: 'not one whose peers fail alike', of: record(0.6), peers: [record(0.5)], expected: false },
    { name: 'not one that is known too little', of: record(1, 2), peers: [record(0)], expected: false },
    { name: 'not one that fails now and then', of: record(0.3), peers: [record(0)], expected: false },
    { name: 'not the last one that gets work', of: record(1), peers: [record(1, 9, false)], expected: false }
  ]
  it.each(cases)('$name', ({ of, peers, expected }) => {
    expect(eject(of, peers)).toBe(expected)
  })
})
