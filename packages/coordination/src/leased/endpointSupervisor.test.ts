import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { STEP_MS, advanceTime, flushPromises } from '../../tests/leased/advanceTime.js'
import { CAPACITY, FakeEndpoint } from '../../tests/leased/fakeEndpoint.js'
import type { CallFault } from '../../tests/leased/fakeEndpoint.js'
import { EndpointSupervisor } from './endpointSupervisor.js'
import { MAX_LIMIT_MS } from './responseTimes.js'

const TIMES = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
/** Time limit of a caller that has learned that answers take a millisecond or two. */
const CALL_LIMIT_MS = 10
const NEED = { cpuMilli: 1000, memoryMb: 64 }

type Call = 'start' | 'stop' | 'poll'

const setUp = async (runMs: number, callLimitMs = CALL_LIMIT_MS) => {
  let mayStart = true
  const clock = createFakeClock()
  const endpoint = new FakeEndpoint(clock, () => NEED.cpuMilli, callLimitMs)
  endpoint.runMs = runMs
  const supervisor = new EndpointSupervisor({
    clock, endpoint, capacity: CAPACITY, times: TIMES, pollWaitMs: 100, beforeRenewal: () => {}, mayStart: () => mayStart, onCapacityFreed: () => {}, onReady: () => {}, endReason: () => 'endpoint_crashed', onGone: () => {}, log: () => {}
  })
  const advance = (ms: number): Promise<void> => advanceTime(clock, endpoint, ms)
  await flushPromises()
  /** Starts a task; its outcome and the time until then, in ms, are set once it has terminated. */
  const start = (submission: string): { outcome?: { type: string, at: number } } => {
    const task: { outcome?: { type: string, at: number } } = {}
    const from = clock.now()
    supervisor.start(submission, 0, '', NEED, ({ type }) => { task.outcome = { type, at: clock.now() - from } })
    return task
  }
  /** Injects these faults into the next calls of this kind. */
  const injectFaults = (call: Call, faults: CallFault[]): void => {
    endpoint.fault = (name) => name === call ? faults.shift() ?? 'none' : 'none'
  }
  const runsOf = (submission: string) => [...endpoint.endedRuns, ...endpoint.openRuns].filter((run) => run.submission === submission)
  /** Forbids starts from now on. */
  const forbidStarts = (): void => { mayStart = false }
  return { clock, endpoint, advance, start, injectFaults, runsOf, forbidStarts }
}

describe('EndpointSupervisor with unanswered calls', () => {
  const starts: Array<{ name: string, faults: CallFault[] }> = [
    { name: 'lost', faults: ['lost'] },
    { name: 'lost twice', faults: ['lost', 'lost'] },
    { name: 'carried out but whose answer is lost', faults: ['answer_lost'] },
    { name: 'carried out seconds later', faults: ['late'] },
    { name: 'carried out seconds later, as is its repetition', faults: ['late', 'late'] }
  ]
  it.each(starts)('a start that is $name begins within 20 ms and exactly once', async ({ faults }) => {
    const { advance, start, injectFaults, runsOf } = await setUp(100)
    injectFaults('start', faults)
    const task = start('a')
    await advance(4000)
    expect(runsOf('a')).toHaveLength(1)
    expect(runsOf('a')[0]!.startedAt).toBeLessThanOrEqual(20)
    expect(task.outcome?.type).toBe('ended')
  })

  it('a start of which no copy is answered is reported as not started within 50 ms and never runs', async () => {
    const { advance, start, injectFaults, runsOf } = await setUp(100)
    injectFaults('start', ['late', 'late', 'late'])
    const task = start('a')
    await advance(50)
    expect(task.outcome?.type).toBe('not_started')
    await advance(4000)
    expect(runsOf('a')).toEqual([])
  })

  it('an unanswered start is not repeated once starts are forbidden, and never runs', async () => {
    const { endpoint, advance, start, injectFaults, runsOf, forbidStarts } = await setUp(100)
    injectFaults('start', ['late'])
    const task = start('a')
    const before = endpoint.calls.start
    forbidStarts()
    await advance(50)
    expect(endpoint.calls.start).toBe(before)
    expect(task.outcome?.type).toBe('not_started')
    await advance(4000)
    expect(runsOf('a')).toEqual([])
  })

  const stops: Array<{ name: string, faults: CallFault[], withinMs: number }> = [
    { name: 'one lost call', faults: ['lost'], withinMs: 60 },
    { name: 'two lost calls in a row', faults: ['lost', 'lost'], withinMs: 70 }
  ]
  it.each(stops)('a stop is confirmed after $name, delayed only by the time limits', async ({ faults, withinMs }) => {
    const { endpoint, advance, start, runsOf } = await setUp(100)
    endpoint.fault = (call) => {
      if (call === 'start') return 'late'
      return call === 'stop' ? faults.shift() ?? 'none' : 'none'
    }
    const task = start('a')
    await advance(withinMs)
    expect(task.outcome?.type).toBe('not_started')
    await advance(4000)
    expect(runsOf('a')).toEqual([])
  })

  it('while calls get lost, an end is reported within 35 ms even if a poll is lost', async () => {
    const { endpoint, advance, start, injectFaults } = await setUp(100)
    injectFaults('start', ['lost'])
    const task = start('a')
    await advance(100)
    let lost = 0
    endpoint.fault = (call) => call === 'poll' && lost++ === 0 ? 'lost' : 'none'
    await advance(200)
    // The run began after the first copy's time limit.
    expect(task.outcome?.at).toBeLessThanOrEqual(CALL_LIMIT_MS + 100 + 35 + STEP_MS)
  })

  const endpoints = [
    { name: 'fast', callLimitMs: CALL_LIMIT_MS },
    { name: 'as slow as the upper limit allows', callLimitMs: MAX_LIMIT_MS }
  ]
  it.each(endpoints)('two lost polls in a row end no run if the endpoint is $name', async ({ callLimitMs }) => {
    const { endpoint, advance, start } = await setUp(3000, callLimitMs)
    const task = start('a')
    await advance(1000)
    let lost = 0
    endpoint.fault = (call) => call === 'poll' && lost++ < 2 ? 'lost' : 'none'
    await advance(3000)
    expect(lost).toBeGreaterThan(2)
    expect(task.outcome?.type).toBe('ended')
  })

  it('an unresponsive endpoint is polled with growing pauses, and its runs are confirmed terminated in time', async () => {
    const { endpoint, advance, start } = await setUp(5000)
    const task = start('a')
    await advance(100)
    endpoint.fault = () => 'lost'
    const before = endpoint.calls.poll
    await advance(16_000)
    expect(task.outcome).toEqual({ type: 'lost', at: expect.any(Number) })
    expect(task.outcome!.at).toBeLessThanOrEqual(100 + 1100)
    expect(endpoint.calls.poll - before).toBeLessThan(60)
  })

  it('stops of unanswered starts are sent only once an unresponsive endpoint answers again', async () => {
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

  it('an endpoint that answers again accepts starts again', async () => {
    const { endpoint, advance, start } = await setUp(50)
    start('a')
    endpoint.fault = () => 'lost'
    await advance(3000)
    endpoint.fault = () => 'none'
    await advance(600)
    const task = start('b')
    await advance(200)
    expect(task.outcome?.type).toBe('ended')
  })
})
