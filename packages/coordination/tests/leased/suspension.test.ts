import { REASONS } from '@hazellift/protocol'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { BootClock, ProcessClock } from '../processClock.js'
import { CAPACITY, overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

const RESEND_MS = 1300
const JOIN_MS = 400
const RUN_MS = 2500
/** Steady time until an entry that runs again has read that a connection ended. */
const HEARD_MS = 45

const started = async (entries: number, agents: number, runMs = RUN_MS, boot: BootClock = 'none'): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(entries, agents, undefined, undefined, undefined, boot)
  // The first entry uses the first agent only, the second one the others: what is sent again runs elsewhere.
  if (entries > 1) {
    network.cut(0, 1, true)
    for (let agent = 1; agent < agents; agent++) network.cut(agent, 0, true)
  }
  await network.advance(JOIN_MS)
  for (const endpoint of network.endpoints) endpoint.runMs = runMs
  return network
}

const submit = (network: LeasedNetwork, entry: number): { leave: () => void } =>
  network.submit(entry, 'j', 2, { estimateMs: RUN_MS, deadlineMs: 30_000 })

const BOOT_CLOCKS: BootClock[] = ['none', 'true', 'steady']

/** What happens to the first agent and the first entry. */
interface Standstill {
  name: string
  act: (agent: ProcessClock, entry: ProcessClock, network: LeasedNetwork) => Promise<void> | void
  bootClocks?: BootClock[]
}

const withBootClocks = (standstills: Standstill[]): Array<Standstill & { boot: BootClock }> =>
  standstills.flatMap((standstill) => (standstill.bootClocks ?? BOOT_CLOCKS).map((boot) => ({ ...standstill, boot })))

describe('a process that is suspended, which its steady clock does not count', () => {
  const deaths: Standstill[] = [
    { name: 'its agent is suspended', act: (agent) => agent.suspend(450) },
    {
      name: 'its agent is suspended several times',
      act: async (agent, _entry, network) => {
        for (let times = 0; times < 3; times++) {
          agent.suspend(300)
          await network.advance(340)
        }
      }
    },
    {
      name: 'its agent is suspended, and the time of day is set back by less',
      act: (agent) => {
        agent.suspend(450)
        agent.stepWallClock(-400)
      }
    },
    {
      name: 'its agent is suspended, and the time of day is set back by more',
      bootClocks: ['true'],
      act: (agent) => {
        agent.suspend(450)
        agent.stepWallClock(-5000)
      }
    }
  ]
  it.each(withBootClocks(deaths))('a task runs, its entry dies, $name (time since the start: $boot): sent again elsewhere, no two runs overlap', async ({ act, boot }) => {
    const network = await started(2, 2, RUN_MS, boot)
    submit(network, 0)
    await network.advance(200)
    const { process } = network.agents[0]!
    const acting = act(process, network.entries[0]!.process, network)
    network.killEntry(0)
    network.cut(0, 0, true)
    const from = network.clock.now()
    await acting
    await network.advance(RESEND_MS - (network.clock.now() - from))
    submit(network, 1)
    await network.advance(8000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const meanwhiles: Standstill[] = [
    { name: 'its agent is suspended', act: (agent) => agent.suspend(2500) },
    {
      name: 'its agent is suspended twice',
      act: (agent) => {
        agent.suspend(1500)
        agent.suspend(1000)
      }
    },
    {
      name: 'its agent is suspended, and the time of day is set back by less',
      act: (agent) => {
        agent.suspend(2500)
        agent.stepWallClock(-2400)
      }
    },
    {
      name: 'its agent is suspended, and the time of day is set back by more',
      bootClocks: ['true'],
      act: (agent) => {
        agent.suspend(2500)
        agent.stepWallClock(-5000)
      }
    }
  ]
  it.each(withBootClocks(meanwhiles))('a start arrives while $name (time since the start: $boot), and its entry dies: sent again elsewhere, no two runs overlap', async ({ act, boot }) => {
    const network = await started(2, 2, RUN_MS, boot)
    await act(network.agents[0]!.process, network.entries[0]!.process, network)
    submit(network, 0)
    await network.advance(5)
    network.killEntry(0)
    network.cut(0, 0, true)
    await network.advance(RESEND_MS)
    submit(network, 1)
    await network.advance(8000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const cutOffs: Standstill[] = [
    { name: 'the entry is suspended', act: (_agent, entry) => entry.suspend(1500) },
    {
      name: 'the entry and the agent are suspended',
      act: (agent, entry) => { for (const process of [agent, entry]) process.suspend(1500) }
    },
    {
      name: 'the entry and the agent are suspended for less than a hold, again and again',
      act: async (agent, entry, network) => {
        for (let times = 0; times < 5; times++) {
          for (const process of [agent, entry]) process.suspend(400)
          await network.advance(410)
        }
      }
    },
    {
      name: 'the entry is suspended, and the agent for less',
      act: (agent, entry) => {
        entry.suspend(1500)
        agent.suspend(450)
      }
    },
    {
      name: 'the entry is suspended for less than the agent',
      act: (agent, entry) => {
        entry.suspend(450)
        agent.suspend(1200)
      }
    },
    {
      name: 'the entry is frozen, and the agent suspended',
      act: (agent, entry) => {
        entry.freeze(1500)
        agent.suspend(1500)
      }
    }
  ]
  it.each(withBootClocks(cutOffs))('$name (time since the start: $boot): a caller that was cut off sends again elsewhere, no two runs overlap', async ({ act, boot }) => {
    const network = await started(2, 2, RUN_MS, boot)
    const { leave } = submit(network, 0)
    await network.advance(200)
    const { process } = network.entries[0]!
    const from = network.clock.now()
    const acting = act(network.agents[0]!.process, process, network)
    // The entry hears of the end of the connection last of all.
    process.after(HEARD_MS, leave)
    await acting
    await network.advance(Math.max(0, RESEND_MS - (network.clock.now() - from)))
    submit(network, 1)
    await network.advance(8000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const entriesAlone = [{ ms: 300 }, { ms: 1000 }, { ms: 5000 }]
  it.each(entriesAlone)('an entry is suspended for $ms ms: its job completes, and no two runs overlap', async ({ ms }) => {
    const network = await started(1, 2)
    network.submit(0, 'j', 4, { estimateMs: RUN_MS })
    await network.advance(200)
    network.entries[0]!.process.suspend(ms)
    await network.advance(ms + 9000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('what ran under authority that may be over is not held on, and is stopped unless the entry answers anew', async () => {
    const network = await started(1, 1)
    network.submit(0, 'j', 1, { estimateMs: RUN_MS, deadlineMs: 3000 })
    await network.advance(200)
    network.agents[0]!.process.suspend(100)
    network.cut(0, 0, true)
    await network.advance(600)
    expect(network.endpoints[0]!.openRuns).toEqual([])
  })

  const steps: Array<{ name: string, who: 'agents' | 'entries', stepsMs: number[] }> = [
    { name: 'ahead at an agent', who: 'agents', stepsMs: [3_600_000] },
    { name: 'back at an agent', who: 'agents', stepsMs: [-3_600_000] },
    { name: 'ahead and back, again and again, at an agent', who: 'agents', stepsMs: [5000, -5000, 5000, -5000, 5000, -5000] },
    { name: 'ahead at an entry', who: 'entries', stepsMs: [3_600_000] },
    { name: 'back at an entry', who: 'entries', stepsMs: [-3_600_000] },
    { name: 'ahead and back, again and again, at an entry', who: 'entries', stepsMs: [5000, -5000, 5000, -5000, 5000, -5000] }
  ]
  it.each(steps)('the time of day is set $name: what runs is finished in its first run', async ({ who, stepsMs }) => {
    const network = await started(1, 1)
    network.submit(0, 'j', 2, { estimateMs: RUN_MS })
    await network.advance(200)
    for (const ms of stepsMs) {
      network[who][0]!.process.stepWallClock(ms)
      await network.advance(350)
    }
    await network.advance(RUN_MS)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(network.endpoints[0]!.endedRuns).toHaveLength(2)
  })

  it.each([{ who: 'agents' as const }, { who: 'entries' as const }])('after the time of day was set ahead at $who, a job waits for a moment only', async ({ who }) => {
    const network = await started(1, 1, 100)
    network[who][0]!.process.stepWallClock(60_000)
    network.submit(0, 'j', 2)
    await network.advance(500)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
  })

  it('a clock that drifts, step by step, is no suspension', async () => {
    const network = await started(1, 1)
    network.submit(0, 'j', 2, { estimateMs: RUN_MS })
    for (let passed = 0; passed < RUN_MS; passed += 20) {
      network.agents[0]!.process.stepWallClock(3)
      await network.advance(20)
    }
    await network.advance(100)
    expect(network.endedStartCounts.get('done')).toBe(2)
    expect(network.endedStartCounts.get(REASONS.leaseExpired)).toBeUndefined()
  })

  it('any series of suspensions, freezes, steps of the time of day and other faults: no two runs of a task overlap', async () => {
    const who = fc.record({ isEntry: fc.boolean(), index: fc.nat(1) })
    const action = fc.oneof(
      fc.record({ type: fc.constant('submit' as const), count: fc.integer({ min: 1, max: 4 }) }),
      fc.record({ type: fc.constant('break' as const) }),
      fc.record({ type: fc.constant('suspend' as const), who, ms: fc.constantFrom(60, 200, 450, 900, 1500, 3000) }),
      fc.record({ type: fc.constant('freeze' as const), who, ms: fc.constantFrom(200, 700, 1500) }),
      fc.record({ type: fc.constant('step' as const), who, ms: fc.constantFrom(-60_000, -700, 700, 60_000) }),
      fc.record({ type: fc.constant('cut' as const), who }),
      fc.record({ type: fc.constant('heal' as const), who }),
      fc.record({ type: fc.constant('kill_entry' as const) }),
      fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 20, max: 800 }) }),
      fc.record({ type: fc.constant('slow' as const), who, runMs: fc.constantFrom(50, 300, 3000) }))
    await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 25 }), async (actions) => {
      const network = await started(2, 2, 300)
      const open = new Map<string, { count: number, leave: () => void }>()
      const resend: Array<{ at: number, id: string, count: number }> = []
      let jobs = 0
      const breakOff = (isHeard: boolean): void => {
        for (const [id, { count, leave }] of open) {
          if (network.jobEnds.has(id)) continue
          if (isHeard) network.entries[0]!.process.run(leave)
          resend.push({ at: network.clock.now() + RESEND_MS, id, count })
        }
        open.clear()
      }
      const resendDue = (): void => {
        for (const due of resend.filter(({ at }) => at <= network.clock.now())) {
          resend.splice(resend.indexOf(due), 1)
          network.entries[1]!.process.run(() => network.submit(1, due.id, due.count))
        }
      }
      for (const act of actions) {
        const process = 'who' in act ? (act.who.isEntry ? network.entries : network.agents)[act.who.index]!.process : undefined
        if (act.type === 'submit' && !network.entries[0]!.process.isPaused) {
          const id = `j${jobs++}`
          open.set(id, { count: act.count, ...network.submit(0, id, act.count) })
        }
        if (act.type === 'break') breakOff(true)
        if (act.type === 'suspend') process!.suspend(act.ms)
        if (act.type === 'freeze') process!.freeze(act.ms)
        if (act.type === 'step') process!.stepWallClock(act.ms)
        if (act.type === 'cut' || act.type === 'heal') network.cut(act.who.index, act.who.isEntry ? 1 : 0, act.type === 'cut')
        if (act.type === 'kill_entry' && !network.entries[0]!.process.isPaused) {
          breakOff(false)
          network.killEntry(0)
        }
        if (act.type === 'slow') network.endpoints[act.who.index]!.runMs = act.runMs
        for (let waited = 0; waited < (act.type === 'wait' ? act.ms : 10); waited += 10) {
          await network.advance(10)
          resendDue()
        }
      }
      expect(overlappingRuns(network.endpoints)).toEqual([])
      for (const endpoint of network.endpoints) expect(endpoint.peakCpuMilli).toBeLessThanOrEqual(CAPACITY.cpuMilli)
    }), { numRuns: 300, seed: 20261203 })
  })
})
