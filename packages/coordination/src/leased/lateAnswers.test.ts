import type { Clock } from '@hazellift/common'
import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { advanceTime } from '../../tests/leased/advanceTime.js'
import { CAPACITY, FakeEndpoint } from '../../tests/leased/fakeEndpoint.js'
import { EndpointSupervisor } from './endpointSupervisor.js'
import type { AttemptOutcome } from './inFlightRun.js'
import { MAX_LIMIT_MS } from './responseTimes.js'
import type { LeasedEndpoint, PollOutcome, StartOutcome } from './types.js'

const TIMES = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
const NEED = { cpuMilli: 1000, memoryMb: 64 }
const RUN_MS = 1000
/** Longer than an endpoint that answers within the longest time limit needs for a run. */
const PATIENCE_MS = 3000
const UNKNOWN = { type: 'unknown' } as const

/** Calls of an endpoint that receives each after half of `answerMs`, and whose answer arrives after the other half. */
const delayCalls = (endpoint: FakeEndpoint, clock: Clock, answerMs: number): LeasedEndpoint => {
  const call = <T>(unanswered: T, waitMs: number, act: () => Promise<T>, onLate: (outcome: T) => void = () => {}): Promise<T> => new Promise((resolve) => {
    let isLate = false
    clock.after(waitMs + MAX_LIMIT_MS, () => {
      isLate = true
      resolve(unanswered)
    })
    const onAnswer = (outcome: T): void => isLate ? onLate(outcome) : resolve(outcome)
    clock.after(answerMs / 2, () => {
      void act().then((outcome) => clock.after(answerMs / 2, () => onAnswer(outcome)))
    })
  })
  return {
    start: (order) => call<StartOutcome>(UNKNOWN, 0, () => endpoint.start(order), order.onLate),
    stop: (run, onLate) => call<boolean>(false, 0, () => endpoint.stop(run), (isStopped) => { if (isStopped) onLate?.() }),
    poll: (request) => call<PollOutcome>(UNKNOWN, request.waitMs, () => endpoint.poll(request), request.onLate)
  }
}

const setUp = async (answerMs: number) => {
  const clock = createFakeClock()
  const endpoint = new FakeEndpoint(clock, () => NEED.cpuMilli)
  endpoint.runMs = RUN_MS
  const supervisor = new EndpointSupervisor({
    clock, endpoint: delayCalls(endpoint, clock, answerMs), capacity: CAPACITY, times: TIMES, pollWaitMs: 100, beforeRenewal: () => {}, mayStart: () => true, onCapacityFreed: () => {}, onReady: () => {}, endReason: () => 'endpoint_crashed', onGone: () => {}, log: () => {}
  })
  const advance = (ms: number): Promise<void> => advanceTime(clock, endpoint, ms)
  await advance(PATIENCE_MS)
  return { endpoint, supervisor, advance }
}

// Guards against an endpoint whose work is stopped and started again without end, as its answers take
// longer than the longest time limit of a call.
describe('an endpoint whose answers all come late', () => {
  const times = [{ answerMs: 60 }, { answerMs: 120 }, { answerMs: 180 }, { answerMs: 240 }]

  it.each(times)('runs its tasks to their end, each once, if each answer takes $answerMs ms', async ({ answerMs }) => {
    const { endpoint, supervisor, advance } = await setUp(answerMs)
    expect(supervisor.acceptsStarts).toBe(true)
    const outcomes: AttemptOutcome[] = []
    for (const submission of ['a', 'b']) supervisor.start(submission, 0, '', NEED, (outcome) => outcomes.push(outcome))
    await advance(PATIENCE_MS)
    expect(outcomes).toEqual([{ type: 'ended', how: 'done' }, { type: 'ended', how: 'done' }])
    expect(endpoint.endedRuns).toHaveLength(2)
  })

  it.each(times)('is known to have stopped a run if each answer takes $answerMs ms', async ({ answerMs }) => {
    const { endpoint, supervisor, advance } = await setUp(answerMs)
    const outcomes: AttemptOutcome[] = []
    const run = supervisor.start('a', 0, '', NEED, (outcome) => outcomes.push(outcome))
    await advance(RUN_MS / 2)
    supervisor.stop(run, 'revoked')
    await advance(PATIENCE_MS)
    expect(outcomes).toEqual([{ type: 'lost', reason: 'revoked' }])
    expect(endpoint.openRuns).toEqual([])
    expect(supervisor.freeCapacity).toEqual(CAPACITY)
  })
})
