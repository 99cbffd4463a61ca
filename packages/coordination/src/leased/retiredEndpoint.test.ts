import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { advanceTime, flushPromises } from '../../tests/leased/advanceTime.js'
import { CAPACITY, FakeEndpoint } from '../../tests/leased/fakeEndpoint.js'
import { EndpointSupervisor } from './endpointSupervisor.js'
import type { AttemptOutcome } from './inFlightRun.js'
import { runExpiryMs } from './times.js'
import type { LeasedEndpoint, PollRequest } from './types.js'

const TIMES = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
const NEED = { cpuMilli: 1000, memoryMb: 64 }
/** Time limit of a call. */
const CALL_LIMIT_MS = 10
/** A poll that is due may still wait for its answer when the last run lease has expired. */
const LAST_POLL_MS = 30

const setUp = async (runMs: number) => {
  const clock = createFakeClock()
  const endpoint = new FakeEndpoint(clock, () => NEED.cpuMilli, CALL_LIMIT_MS)
  endpoint.runMs = runMs
  /** Times of polls and starts that renew the run lease. */
  const renewals: number[] = []
  const recordRenewal = (runLeaseMs: number | undefined): void => { if (runLeaseMs !== undefined) renewals.push(clock.now()) }
  const recorded: LeasedEndpoint = {
    start: (order) => {
      recordRenewal(order.runLeaseMs)
      return endpoint.start(order)
    },
    stop: endpoint.stop,
    poll: (request: PollRequest) => {
      recordRenewal(request.runLeaseMs)
      return endpoint.poll(request)
    }
  }
  let goneCount = 0
  const supervisor = new EndpointSupervisor({
    clock, endpoint: recorded, capacity: CAPACITY, times: TIMES, pollWaitMs: 100, beforeRenewal: () => {}, mayStart: () => true, onCapacityFreed: () => {}, onReady: () => {}, endReason: () => 'endpoint_crashed', onGone: () => { goneCount++ }, log: () => {}
  })
  await flushPromises()
  const advance = (ms: number): Promise<void> => advanceTime(clock, endpoint, ms)
  const task: { outcome?: AttemptOutcome, at?: number } = {}
  const start = (): void => { supervisor.start('job', 0, '', NEED, (outcome) => { Object.assign(task, { outcome, at: clock.now() }) }) }
  return { clock, endpoint, supervisor, renewals, advance, start, task, goneCount: () => goneCount }
}

describe('an endpoint that is retired', () => {
  // Guards against runs that are lost by the announcement alone, and against proofs that take longer than the last run lease.
  const losses = [
    { name: 'refuses connections', impair: (endpoint: FakeEndpoint): void => { endpoint.isPortClosed = true } },
    { name: 'answers nothing', impair: (endpoint: FakeEndpoint): void => { endpoint.fault = () => 'lost' } }
  ]
  it.each(losses)('loses its runs when their lease has expired, if it $name', async ({ impair }) => {
    const { clock, endpoint, supervisor, renewals, advance, start, task } = await setUp(5000)
    start()
    await advance(1000)
    impair(endpoint)
    supervisor.retire('endpoint_gone')
    await advance(1000)
    const expiresAt = renewals.at(-1)! + runExpiryMs(TIMES)
    expect(task.outcome).toEqual({ type: 'lost', reason: 'endpoint_gone' })
    expect(task.at).toBeGreaterThanOrEqual(expiresAt)
    expect(task.at).toBeLessThanOrEqual(expiresAt + LAST_POLL_MS)
    expect(endpoint.openRuns).toEqual([])
    expect(clock.now()).toBeGreaterThan(expiresAt)
  })

  it('renews no lease and starts nothing, and its runs are stopped', async () => {
    const { clock, endpoint, supervisor, renewals, advance, start, task } = await setUp(5000)
    start()
    await advance(1000)
    supervisor.retire('endpoint_gone')
    const retiredAt = clock.now()
    expect(supervisor.acceptsStarts).toBe(false)
    expect(supervisor.freeCapacity).toEqual({ cpuMilli: 0, memoryMb: 0 })
    await advance(100)
    expect(renewals.filter((at) => at > retiredAt)).toEqual([])
    expect(task.outcome).toEqual({ type: 'lost', reason: 'endpoint_gone' })
    expect(endpoint.openRuns).toEqual([])
  })

  it('has its listed ends read: a run that has ended is no loss', async () => {
    const { endpoint, supervisor, advance, start, task } = await setUp(200)
    start()
    await advance(100)
    // The regular poll does not see the end.
    endpoint.fault = (call) => call === 'poll' ? 'lost' : 'none'
    await advance(120)
    endpoint.fault = () => 'none'
    expect(task.outcome).toBeUndefined()
    supervisor.retire('endpoint_gone')
    await advance(50)
    expect(task.outcome).toEqual({ type: 'ended', how: 'done' })
  })

  it('repeats no start that was not answered, and the run never begins', async () => {
    const { endpoint, supervisor, advance, start, task } = await setUp(200)
    endpoint.fault = (call) => call === 'start' ? 'late' : 'none'
    start()
    const before = endpoint.calls.start
    supervisor.retire('endpoint_gone')
    await advance(5000)
    expect(endpoint.calls.start).toBe(before)
    expect(task.outcome).toEqual({ type: 'lost', reason: 'endpoint_gone' })
    expect([...endpoint.endedRuns, ...endpoint.openRuns]).toEqual([])
  })

  it('stays retired for its reason if it is told again', async () => {
    const { endpoint, supervisor, advance, start, task } = await setUp(5000)
    start()
    await advance(100)
    endpoint.isPortClosed = true
    supervisor.retire('endpoint_gone')
    supervisor.retire('endpoint_crashed')
    await advance(1000)
    expect(task.outcome).toEqual({ type: 'lost', reason: 'endpoint_gone' })
  })
})
