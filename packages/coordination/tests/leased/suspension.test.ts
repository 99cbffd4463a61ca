import { REASONS } from '@hazellift/protocol'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { BootClock, ProcessClock } from '../processClock.js'
import { CAPACITY, overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

// While a process is suspended, its steady clock stops, so that leases seem to last
// longer than they do. An agent that relied on them would keep tasks running whose caller has
// submitted the job to another entry meanwhile: two runs of a task would overlap.

/** Time from the end of a connection until its caller submits the job again. */
const RESUBMIT_MS = 1300
/** Time in which all sessions open. */
const JOIN_MS = 400
const RUN_MS = 2500
/** Steady time until an entry that has resumed reads that a connection ended. */
const DISCONNECT_READ_MS = 45

const startNetwork = async (entries: number, agents: number, runMs = RUN_MS, bootClock: BootClock = 'unavailable'): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(entries, agents, undefined, undefined, undefined, bootClock)
  // Entry 0 has a link to agent 0 only, and entry 1 to the others: a job submitted again runs at another endpoint.
  if (entries > 1) {
    network.cut(0, 1, true)
    for (let agent = 1; agent < agents; agent++) network.cut(agent, 0, true)
  }
  await network.advance(JOIN_MS)
  for (const endpoint of network.endpoints) endpoint.runMs = runMs
  return network
}

const submitJob = (network: LeasedNetwork, entry: number): { leave: () => void } =>
  network.submit(entry, 'j', 2, { estimateMs: RUN_MS, deadlineMs: 30_000 })

const BOOT_CLOCKS: BootClock[] = ['unavailable', 'counts_suspensions', 'misses_suspensions']

/** What happens to the processes of agent 0 and entry 0. */
interface PauseCase {
  name: string
  act: (agent: ProcessClock, entry: ProcessClock, network: LeasedNetwork) => Promise<void> | void
  /** Boot clocks with which the case is run; all if unset. */
  bootClocks?: BootClock[]
}

const withBootClocks = (cases: PauseCase[]): Array<PauseCase & { bootClock: BootClock }> =>
  cases.flatMap((pauseCase) => (pauseCase.bootClocks ?? BOOT_CLOCKS).map((bootClock) => ({ ...pauseCase, bootClock })))

describe('a process that is suspended, while its steady clock stops', () => {
  const duringRun: PauseCase[] = [
    { name: 'suspended', act: (agent) => agent.suspend(450) },
    {
      name: 'suspended three times',
      act: async (agent, _entry, network) => {
        for (let count = 0; count < 3; count++) {
          agent.suspend(300)
          await network.advance(340)
        }
      }
    },
    {
      name: 'suspended, wall clock set back by less',
      act: (agent) => {
        agent.suspend(450)
        agent.stepWallClock(-400)
      }
    },
    {
      name: 'suspended, wall clock set back by more',
      bootClocks: ['counts_suspensions'],
      act: (agent) => {
        agent.suspend(450)
        agent.stepWallClock(-5000)
      }
    }
  ]
  it.each(withBootClocks(duringRun))('a task runs, its entry dies and its agent is $name (boot clock: $bootClock): submitted to another entry the job completes, and no two runs overlap', async ({ act, bootClock }) => {
    const network = await startNetwork(2, 2, RUN_MS, bootClock)
    submitJob(network, 0)
    await network.advance(200)
    const { process } = network.agents[0]!
    const acting = act(process, network.entries[0]!.process, network)
    network.killEntry(0)
    network.cut(0, 0, true)
    const startedAt = network.clock.now()
    await acting
    await network.advance(RESUBMIT_MS - (network.clock.now() - startedAt))
    submitJob(network, 1)
    await network.advance(8000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const duringStart: PauseCase[] = [
    { name: 'suspended', act: (agent) => agent.suspend(2500) },
    {
      name: 'suspended twice',
      act: (agent) => {
        agent.suspend(1500)
        agent.suspend(1000)
      }
    },
    {
      name: 'suspended, wall clock set back by less',
      act: (agent) => {
        agent.suspend(2500)
        agent.stepWallClock(-2400)
      }
    },
    {
      name: 'suspended, wall clock set back by more',
      bootClocks: ['counts_suspensions'],
      act: (agent) => {
        agent.suspend(2500)
        agent.stepWallClock(-5000)
      }
    }
  ]
  it.each(withBootClocks(duringStart))('a start arrives while its agent is $name (boot clock: $bootClock), and its entry dies: submitted to another entry the job completes, and no two runs overlap', async ({ act, bootClock }) => {
    const network = await startNetwork(2, 2, RUN_MS, bootClock)
    await act(network.agents[0]!.process, network.entries[0]!.process, network)
    submitJob(network, 0)
    await network.advance(5)
    network.killEntry(0)
    network.cut(0, 0, true)
    await network.advance(RESUBMIT_MS)
    submitJob(network, 1)
    await network.advance(8000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const duringDisconnect: PauseCase[] = [
    { name: 'entry suspended', act: (_agent, entry) => entry.suspend(1500) },
    {
      name: 'entry and agent suspended',
      act: (agent, entry) => { for (const process of [agent, entry]) process.suspend(1500) }
    },
    {
      // Each time for less than the run lease.
      name: 'entry and agent suspended five times',
      act: async (agent, entry, network) => {
        for (let count = 0; count < 5; count++) {
          for (const process of [agent, entry]) process.suspend(400)
          await network.advance(410)
        }
      }
    },
    {
      name: 'entry suspended, agent for less time',
      act: (agent, entry) => {
        entry.suspend(1500)
        agent.suspend(450)
      }
    },
    {
      name: 'agent suspended, entry for less time',
      act: (agent, entry) => {
        entry.suspend(450)
        agent.suspend(1200)
      }
    },
    {
      name: 'entry frozen, agent suspended',
      act: (agent, entry) => {
        entry.freeze(1500)
        agent.suspend(1500)
      }
    }
  ]
  it.each(withBootClocks(duringDisconnect))('$name (boot clock: $bootClock), and the caller is disconnected: submitted to another entry the job completes, and no two runs overlap', async ({ act, bootClock }) => {
    const network = await startNetwork(2, 2, RUN_MS, bootClock)
    const { leave } = submitJob(network, 0)
    await network.advance(200)
    const { process } = network.entries[0]!
    const startedAt = network.clock.now()
    const acting = act(network.agents[0]!.process, process, network)
    // The entry reads the end of the connection after everything else that arrived.
    process.after(DISCONNECT_READ_MS, leave)
    await acting
    await network.advance(Math.max(0, RESUBMIT_MS - (network.clock.now() - startedAt)))
    submitJob(network, 1)
    await network.advance(8000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const suspensions = [{ ms: 300 }, { ms: 1000 }, { ms: 5000 }]
  it.each(suspensions)('only an entry is suspended, for $ms ms: its job completes, and no two runs overlap', async ({ ms }) => {
    const network = await startNetwork(1, 2)
    network.submit(0, 'j', 4, { estimateMs: RUN_MS })
    await network.advance(200)
    network.entries[0]!.process.suspend(ms)
    await network.advance(ms + 9000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('a task whose entry lease is unverified after a suspension is stopped if the entry echoes no new timestamp', async () => {
    const network = await startNetwork(1, 1)
    network.submit(0, 'j', 1, { estimateMs: RUN_MS, deadlineMs: 3000 })
    await network.advance(200)
    network.agents[0]!.process.suspend(100)
    network.cut(0, 0, true)
    await network.advance(600)
    expect(network.endpoints[0]!.openRuns).toEqual([])
  })

  const steps: Array<{ name: string, processes: 'agents' | 'entries', stepsMs: number[] }> = [
    { name: 'ahead at an agent', processes: 'agents', stepsMs: [3_600_000] },
    { name: 'back at an agent', processes: 'agents', stepsMs: [-3_600_000] },
    { name: 'ahead and back three times at an agent', processes: 'agents', stepsMs: [5000, -5000, 5000, -5000, 5000, -5000] },
    { name: 'ahead at an entry', processes: 'entries', stepsMs: [3_600_000] },
    { name: 'back at an entry', processes: 'entries', stepsMs: [-3_600_000] },
    { name: 'ahead and back three times at an entry', processes: 'entries', stepsMs: [5000, -5000, 5000, -5000, 5000, -5000] }
  ]
  it.each(steps)('the wall clock is set $name: tasks complete in their first run', async ({ processes, stepsMs }) => {
    const network = await startNetwork(1, 1)
    network.submit(0, 'j', 2, { estimateMs: RUN_MS })
    await network.advance(200)
    for (const ms of stepsMs) {
      network[processes][0]!.process.stepWallClock(ms)
      await network.advance(350)
    }
    await network.advance(RUN_MS)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(network.endpoints[0]!.endedRuns).toHaveLength(2)
  })

  it.each([{ processes: 'agents' as const }, { processes: 'entries' as const }])('the wall clock is set ahead at $processes: a job submitted afterwards completes within 500 ms', async ({ processes }) => {
    const network = await startNetwork(1, 1, 100)
    network[processes][0]!.process.stepWallClock(60_000)
    network.submit(0, 'j', 2)
    await network.advance(500)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
  })

  it('a wall clock that drifts in small steps is not taken for a suspension', async () => {
    const network = await startNetwork(1, 1)
    network.submit(0, 'j', 2, { estimateMs: RUN_MS })
    for (let passedMs = 0; passedMs < RUN_MS; passedMs += 20) {
      network.agents[0]!.process.stepWallClock(3)
      await network.advance(20)
    }
    await network.advance(100)
    expect(network.endedStartCounts.get('done')).toBe(2)
    expect(network.endedStartCounts.get(REASONS.leaseExpired)).toBeUndefined()
  })

  it('random suspensions, freezes, wall clock steps and other faults: no two runs of a task overlap, and no endpoint exceeds its capacity', async () => {
    const target = fc.record({ isEntry: fc.boolean(), index: fc.nat(1) })
    const action = fc.oneof(
      fc.record({ type: fc.constant('submit' as const), count: fc.integer({ min: 1, max: 4 }) }),
      fc.record({ type: fc.constant('disconnect' as const) }),
      fc.record({ type: fc.constant('suspend' as const), target, ms: fc.constantFrom(60, 200, 450, 900, 1500, 3000) }),
      fc.record({ type: fc.constant('freeze' as const), target, ms: fc.constantFrom(200, 700, 1500) }),
      fc.record({ type: fc.constant('step' as const), target, ms: fc.constantFrom(-60_000, -700, 700, 60_000) }),
      fc.record({ type: fc.constant('cut' as const), target }),
      fc.record({ type: fc.constant('restore' as const), target }),
      fc.record({ type: fc.constant('kill_entry' as const) }),
      fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 20, max: 800 }) }),
      fc.record({ type: fc.constant('slow' as const), target, runMs: fc.constantFrom(50, 300, 3000) }))
    await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 25 }), async (actions) => {
      const network = await startNetwork(2, 2, 300)
      const submitted = new Map<string, { count: number, leave: () => void }>()
      const resubmissions: Array<{ at: number, id: string, count: number }> = []
      let jobs = 0
      const disconnectCallers = (isNoticed: boolean): void => {
        for (const [id, { count, leave }] of submitted) {
          if (network.jobEnds.has(id)) continue
          if (isNoticed) network.entries[0]!.process.run(leave)
          resubmissions.push({ at: network.clock.now() + RESUBMIT_MS, id, count })
        }
        submitted.clear()
      }
      const resubmitDue = (): void => {
        for (const due of resubmissions.filter(({ at }) => at <= network.clock.now())) {
          resubmissions.splice(resubmissions.indexOf(due), 1)
          network.entries[1]!.process.run(() => network.submit(1, due.id, due.count))
        }
      }
      for (const act of actions) {
        const process = 'target' in act ? (act.target.isEntry ? network.entries : network.agents)[act.target.index]!.process : undefined
        if (act.type === 'submit' && !network.entries[0]!.process.isPaused) {
          const id = `j${jobs++}`
          submitted.set(id, { count: act.count, ...network.submit(0, id, act.count) })
        }
        if (act.type === 'disconnect') disconnectCallers(true)
        if (act.type === 'suspend') process!.suspend(act.ms)
        if (act.type === 'freeze') process!.freeze(act.ms)
        if (act.type === 'step') process!.stepWallClock(act.ms)
        if (act.type === 'cut' || act.type === 'restore') network.cut(act.target.index, act.target.isEntry ? 1 : 0, act.type === 'cut')
        if (act.type === 'kill_entry' && !network.entries[0]!.process.isPaused) {
          disconnectCallers(false)
          network.killEntry(0)
        }
        if (act.type === 'slow') network.endpoints[act.target.index]!.runMs = act.runMs
        for (let waitedMs = 0; waitedMs < (act.type === 'wait' ? act.ms : 10); waitedMs += 10) {
          await network.advance(10)
          resubmitDue()
        }
      }
      expect(overlappingRuns(network.endpoints)).toEqual([])
      for (const endpoint of network.endpoints) expect(endpoint.peakCpuMilli).toBeLessThanOrEqual(CAPACITY.cpuMilli)
    }), { numRuns: 300, seed: 20261203 })
  })
})
