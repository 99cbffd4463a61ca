import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { CAPACITY, FakeEndpoint } from '../../tests/leased/fakeEndpoint.js'
import type { CallFault } from '../../tests/leased/fakeEndpoint.js'
import { EndpointSupervisor } from './endpointSupervisor.js'
import { MAX_LIMIT_MS } from './responseTimes.js'

const TIMES = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
/** A caller that has learned that answers take a millisecond or two. */
const CALL_LIMIT_MS = 10
const NEED = { cpuMilli: 1000, memoryMb: 64 }
/** How finely the tests move time on; a fake endpoint ends its runs this often. */
const STEP_MS = 5

type Call = 'start' | 'stop' | 'hold'

/** Settles what is ready without moving the clock. */
const settle = async (): Promise<void> => { for (let i = 0; i < 4; i++) await new Promise((resolve) => setImmediate(resolve)) }

const setUp = async (runMs: number, callLimitMs = CALL_LIMIT_MS) => {
  let mayStart = true
  const clock = createFakeClock()
  const endpoint = new FakeEndpoint(clock, () => NEED.cpuMilli, callLimitMs)
  endpoint.runMs = runMs
  const life = new EndpointSupervisor({
    clock, endpoint, capacity: CAPACITY, times: TIMES, pollWaitMs: 100, beforeRenewal: () => {}, mayStart: () => mayStart, onCapacityFreed: () => {}, onReady: () => {}, endReason: () => 'endpoint_crashed', onGone: () => {}, log: () => {}
  })
  const advance = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      endpoint.tick()
      await settle()
      clock.advance(STEP_MS)
      await settle()
    }
  }
  await settle()
  /** Starts a task; the time of its end comes later. */
  const start = (submission: string): { told?: { type: string, at: number } } => {
    const told: { told?: { type: string, at: number } } = {}
    const from = clock.now()
    life.start(submission, 0, '', NEED, ({ type }) => { told.told = { type, at: clock.now() - from } })
    return told
  }
  /** The next calls of this kind meet these faults. */
  const meet = (call: Call, faults: CallFault[]): void => {
    endpoint.fault = (name) => name === call ? faults.shift() ?? 'none' : 'none'
  }
  const runsOf = (submission: string) => [...endpoint.endedRuns, ...endpoint.openRuns].filter((run) => run.submission === submission)
  /** Nothing may be started from now on. */
  const forbidStarts = (): void => { mayStart = false }
  return { clock, endpoint, advance, start, meet, runsOf, forbidStarts }
}

describe('orders of an endpoint that get no answer', () => {
  const starts: Array<{ name: string, faults: CallFault[] }> = [
    { name: 'lost', faults: ['lost'] },
    { name: 'lost twice', faults: ['lost', 'lost'] },
    { name: 'carried out, and the answer lost', faults: ['answer_lost'] },
    { name: 'carried out seconds later', faults: ['late'] },
    { name: 'carried out seconds later, both copies', faults: ['late', 'late'] }
  ]
  it.each(starts)('a start that is $name begins within 20 ms, and once', async ({ faults }) => {
    const { advance, start, meet, runsOf } = await setUp(100)
    meet('start', faults)
    const task = start('a')
    await advance(4000)
    expect(runsOf('a')).toHaveLength(1)
    expect(runsOf('a')[0]!.startedAt).toBeLessThanOrEqual(20)
    expect(task.told?.type).toBe('ended')
  })

  it('a start of which no copy is answered is proved void within 50 ms, and never runs', async () => {
    const { advance, start, meet, runsOf } = await setUp(100)
    meet('start', ['late', 'late', 'late'])
    const task = start('a')
    await advance(50)
    expect(task.told?.type).toBe('not_started')
    await advance(4000)
    expect(runsOf('a')).toEqual([])
  })

  it('a start without an answer is not sent again once nothing may be started, and never runs', async () => {
    const { endpoint, advance, start, meet, runsOf, forbidStarts } = await setUp(100)
    meet('start', ['late'])
    const task = start('a')
    const before = endpoint.calls.start
    forbidStarts()
    await advance(50)
    expect(endpoint.calls.start).toBe(before)
    expect(task.told?.type).toBe('not_started')
    await advance(4000)
    expect(runsOf('a')).toEqual([])
  })

  const stops: Array<{ name: string, faults: CallFault[], withinMs: number }> = [
    { name: 'one', faults: ['lost'], withinMs: 60 },
    { name: 'two in a row', faults: ['lost', 'lost'], withinMs: 70 }
  ]
  it.each(stops)('a stop of which $name gets no answer delays the proof by the time limits alone', async ({ faults, withinMs }) => {
    const { endpoint, advance, start, runsOf } = await setUp(100)
    endpoint.fault = (call) => {
      if (call === 'start') return 'late'
      return call === 'stop' ? faults.shift() ?? 'none' : 'none'
    }
    const task = start('a')
    await advance(withinMs)
    expect(task.told?.type).toBe('not_started')
    await advance(4000)
    expect(runsOf('a')).toEqual([])
  })

  it('once calls get lost, an end is told within 35 ms though a hold is lost', async () => {
    const { endpoint, advance, start, meet } = await setUp(100)
    meet('start', ['lost'])
    const task = start('a')
    await advance(100)
    let lost = 0
    endpoint.fault = (call) => call === 'hold' && lost++ === 0 ? 'lost' : 'none'
    await advance(200)
    // The run began after the first copy's time limit.
    expect(task.told?.at).toBeLessThanOrEqual(CALL_LIMIT_MS + 100 + 35 + STEP_MS)
  })

  const held = [
    { name: 'quick', callLimitMs: CALL_LIMIT_MS },
    { name: 'as slow as it may be', callLimitMs: MAX_LIMIT_MS }
  ]
  it.each(held)('two holds in a row that get lost end nothing, where the endpoint is $name', async ({ callLimitMs }) => {
    const { endpoint, advance, start } = await setUp(3000, callLimitMs)
    const task = start('a')
    await advance(1000)
    let lost = 0
    endpoint.fault = (call) => call === 'hold' && lost++ < 2 ? 'lost' : 'none'
    await advance(3000)
    expect(lost).toBeGreaterThan(2)
    expect(task.told?.type).toBe('ended')
  })

  it('a silent endpoint is looked at with growing pauses, and its tasks are proved over in time', async () => {
    const { endpoint, advance, start } = await setUp(5000)
    const task = start('a')
    await advance(100)
    endpoint.fault = () => 'lost'
    const before = endpoint.calls.poll
    await advance(16_000)
    expect(task.told).toEqual({ type: 'lost', at: expect.any(Number) })
    expect(task.told!.at).toBeLessThanOrEqual(100 + 1100)
    expect(endpoint.calls.poll - before).toBeLessThan(60)
  })

  it('stops of starts that a silent endpoint left unanswered wait until it answers, and are sent then', async () => {
    const { endpoint, advance, start, runsOf } = await setUp(100)
    endpoint.fault = (call) => call === 'start' ? 'late' : 'lost'
    for (let task = 0; task < 4; task++) start(`a${task}`)
    await advance(600)
    const before = endpoint.calls.stop
    await advance(2000)
    expect(endpoint.calls.stop).toBe(before)
    endpoint.fault = () => 'none'
    await advance(2000)
    expect(endpoint.calls.stop - before).toBe(4)
    expect(['a0', 'a1', 'a2', 'a3'].flatMap(runsOf)).toEqual([])
  })

  it('an endpoint that answers again takes starts again', async () => {
    const { endpoint, advance, start } = await setUp(50)
    start('a')
    endpoint.fault = () => 'lost'
    await advance(3000)
    endpoint.fault = () => 'none'
    await advance(600)
    const task = start('b')
    await advance(200)
    expect(task.told?.type).toBe('ended')
  })
})
