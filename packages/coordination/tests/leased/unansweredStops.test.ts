import { describe, expect, it } from 'vitest'
import type { AttemptOutcome } from '../../src/leased/inFlightRun.js'
import type { InFlightRun } from '../../src/leased/inFlightRun.js'
import { EndpointSupervisor } from '../../src/leased/endpointSupervisor.js'
import { createFakeClock } from '../fakeClock.js'
import { STEP_MS, advanceTime, flushPromises } from './advanceTime.js'
import { CAPACITY, FakeEndpoint, overlappingRuns } from './fakeEndpoint.js'
import type { CallFault } from './fakeEndpoint.js'
import { LEASE_TIMES, LeasedNetwork } from './leasedNetwork.js'

/** Longer than all bounds, so that a run that is not ended overlaps with the next one of its task. */
const RUN_MS = 4000
/** Time from the end of a connection until its caller submits the job again. */
const RESUBMIT_MS = 1300
/** Time in which all sessions open. */
const JOIN_MS = 400
/** From the last renewal of the run lease until nothing runs any more. */
const EXPIRY_MS = LEASE_TIMES.runLeaseMs * LEASE_TIMES.clockFactor + LEASE_TIMES.stopMs

describe('a run that must end while stops get no answer and polls do', () => {
  const startNetwork = async (agents: number): Promise<LeasedNetwork> => {
    const network = new LeasedNetwork(2, agents)
    await network.advance(JOIN_MS)
    for (const endpoint of network.endpoints) {
      endpoint.runMs = RUN_MS
      endpoint.fault = (call) => call === 'stop' ? 'lost' : 'none'
    }
    return network
  }

  const causes: Array<{ name: string, act: (network: LeasedNetwork, leave: () => void) => void }> = [
    { name: 'its caller has left', act: (_network, leave) => leave() },
    { name: 'its entry has died', act: (network) => network.killEntry(0) }
  ]
  it.each(causes)('does not overlap with the run of a resubmission: $name', async ({ act }) => {
    const network = await startNetwork(2)
    const { leave } = network.submit(0, 'j', 1, { estimateMs: RUN_MS })
    await network.advance(100)
    act(network, leave)
    await network.advance(RESUBMIT_MS)
    network.submit(1, 'j', 1, { estimateMs: RUN_MS })
    await network.advance(RUN_MS + 1000)
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('does not overlap with the next run: its entry is cut off, and another entry starts and runs tasks at the same endpoint', async () => {
    const network = await startNetwork(3)
    network.submit(0, 'j', 1, { estimateMs: RUN_MS })
    await network.advance(50)
    const agent = network.endpoints.findIndex(({ openRuns }) => openRuns.length > 0)
    for (const endpoint of network.endpoints) endpoint.runMs = 40
    network.cut(agent, 0, true)
    for (let passed = 0, job = 0; passed < 1600; passed += 20) {
      network.submit(1, `other${job++}`, 1, { estimateMs: 40 })
      await network.advance(20)
    }
    await network.advance(RUN_MS)
    const runs = network.endpoints.flatMap(({ endedRuns }) => endedRuns)
    expect(runs.filter(({ submission }) => submission === 'j').length).toBeGreaterThan(1)
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})

/** A supervisor of one endpoint with capacity for four tasks. */
const setUp = async () => {
  const clock = createFakeClock()
  const endpoint = new FakeEndpoint(clock, () => 1000, 10)
  endpoint.runMs = RUN_MS
  let freedCount = 0
  const supervisor = new EndpointSupervisor({
    clock, endpoint, capacity: CAPACITY, times: LEASE_TIMES, pollWaitMs: 100, beforeRenewal: () => {}, mayStart: () => true, onCapacityFreed: () => { freedCount++ }, onReady: () => {}, endReason: () => 'endpoint_crashed', onGone: () => {}, log: () => {}
  })
  const advance = (ms: number): Promise<void> => advanceTime(clock, endpoint, ms)
  await flushPromises()
  const outcomes: Record<string, AttemptOutcome> = {}
  const start = (submission: string): InFlightRun =>
    supervisor.start(submission, 0, '', { cpuMilli: 1000, memoryMb: 64 }, (outcome) => { outcomes[submission] = outcome })
  /** When the run of a task began and ended; Infinity while it runs. */
  const runOf = (submission: string): { startedAt: number, endedAt: number } | undefined =>
    [...endpoint.endedRuns, ...endpoint.openRuns].find((run) => run.submission === submission)
  /** Injects these faults into the next stops, and the last one into all further ones. */
  const injectStopFaults = (faults: CallFault[]): void => {
    endpoint.fault = (call) => call === 'stop' ? (faults.length > 1 ? faults.shift()! : faults[0]!) : 'none'
  }
  return { clock, endpoint, supervisor, advance, start, outcomes, runOf, injectStopFaults, freed: () => freedCount }
}

describe('a stop that is not answered', () => {
  const short: Array<{ name: string, faults: CallFault[], withinMs: number }> = [
    { name: 'none', faults: ['none'], withinMs: 5 },
    { name: 'one lost', faults: ['lost', 'none'], withinMs: 15 },
    { name: 'one carried out but its answer is lost', faults: ['answer_lost', 'none'], withinMs: 5 },
    { name: 'four lost', faults: ['lost', 'lost', 'lost', 'lost', 'none'], withinMs: 100 }
  ]
  it.each(short)('$name: the others run on to their end', async ({ faults, withinMs }) => {
    const { clock, supervisor, advance, start, outcomes, runOf, injectStopFaults } = await setUp()
    const run = start('stopped')
    for (const other of ['b', 'c']) start(other)
    await advance(1000)
    injectStopFaults(faults)
    const stoppedAt = clock.now()
    supervisor.stop(run, 'revoked')
    await advance(RUN_MS)
    expect(runOf('stopped')!.endedAt - stoppedAt).toBeLessThanOrEqual(withinMs)
    expect(outcomes).toEqual({ stopped: { type: 'lost', reason: 'revoked' }, b: { type: 'ended', how: 'done' }, c: { type: 'ended', how: 'done' } })
  })

  it('for long: all that runs there ends with the run lease, and the endpoint takes starts again', async () => {
    const { clock, supervisor, advance, start, outcomes, runOf, injectStopFaults } = await setUp()
    const run = start('stopped')
    for (const other of ['b', 'c']) start(other)
    await advance(1000)
    injectStopFaults(['lost'])
    const stoppedAt = clock.now()
    supervisor.stop(run, 'revoked')
    await advance(EXPIRY_MS + 50)
    for (const task of ['stopped', 'b', 'c']) expect(runOf(task)!.endedAt - stoppedAt).toBeLessThanOrEqual(EXPIRY_MS)
    expect(outcomes).toEqual({ stopped: { type: 'lost', reason: 'revoked' }, b: { type: 'ended', how: 'lapsed' }, c: { type: 'ended', how: 'lapsed' } })
    expect(supervisor.freeCapacity).toEqual(CAPACITY)
    start('next')
    await advance(RUN_MS + 100)
    expect(outcomes['next']).toEqual({ type: 'ended', how: 'done' })
  })

  it('does not delay starts at first; they do not prolong what must end', async () => {
    const { clock, supervisor, advance, start, runOf, injectStopFaults } = await setUp()
    const run = start('stopped')
    await advance(1000)
    injectStopFaults(['lost'])
    const stoppedAt = clock.now()
    supervisor.stop(run, 'revoked')
    for (const task of ['b', 'c']) {
      await advance(50)
      expect(supervisor.freeCapacity.cpuMilli).toBeGreaterThanOrEqual(1000)
      const orderedAt = clock.now()
      start(task)
      await advance(STEP_MS)
      expect(runOf(task)!.startedAt).toBe(orderedAt)
    }
    await advance(EXPIRY_MS)
    expect(runOf('stopped')!.endedAt - stoppedAt).toBeLessThanOrEqual(EXPIRY_MS)
  })

  it('holds starts once little of the run lease remains, until it is answered', async () => {
    const { endpoint, supervisor, advance, start, outcomes, injectStopFaults, freed } = await setUp()
    const run = start('stopped')
    start('b')
    await advance(1000)
    injectStopFaults(['lost'])
    supervisor.stop(run, 'revoked')
    await advance(300)
    expect(supervisor.freeCapacity.cpuMilli).toBe(0)
    const before = freed()
    endpoint.fault = () => 'none'
    await advance(110)
    expect(freed()).toBeGreaterThan(before)
    expect(supervisor.freeCapacity.cpuMilli).toBe(CAPACITY.cpuMilli - 1000)
    await advance(RUN_MS)
    expect(outcomes['b']).toEqual({ type: 'ended', how: 'done' })
  })

  const unansweredStarts: Array<{ name: string, fault: CallFault }> = [
    { name: 'none was carried out', fault: 'lost' },
    { name: 'one was carried out', fault: 'answer_lost' }
  ]
  it.each(unansweredStarts)('of a run whose starts got no answer either: $name, the run is over with its lease', async ({ fault }) => {
    const { clock, endpoint, supervisor, advance, start, outcomes, runOf } = await setUp()
    start('b')
    await advance(1000)
    endpoint.fault = (call) => ({ start: fault, stop: 'lost' as const, poll: 'none' as const })[call]
    const startedAt = clock.now()
    const run = start('unanswered')
    await advance(50)
    expect(run.stopReason).toBe('order_unanswered')
    // The entry lease has expired meanwhile.
    supervisor.stop(run, 'lease_expired')
    endpoint.fault = (call) => call === 'stop' ? 'lost' : 'none'
    await advance(EXPIRY_MS + 100)
    expect(outcomes['unanswered']).toBeDefined()
    expect((runOf('unanswered')?.endedAt ?? startedAt) - startedAt).toBeLessThanOrEqual(30 + EXPIRY_MS)
    expect(supervisor.freeCapacity).toEqual(CAPACITY)
  })
})
