import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork, LEASE_TIMES } from './leasedNetwork.js'

/** Each task of these jobs takes 1600. */
const cpu = (cpuMilli: number) => ({ cpuMilli, memoryMb: 4000 })
const LONG = { objective: { stretch: 20, slackMs: 4000, lateFactor: 3 }, deadlineMs: 10_000 }

const setUp = async (agents = 1): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(1, agents)
  await network.advance(500)
  for (const { endpoint } of network.agents) endpoint.runMs = 300
  return network
}

const runningAt = (network: LeasedNetwork): number => network.endpoints.reduce((sum, { openRuns: open }) => sum + open.length, 0)

describe('a capacity that changes while work runs', () => {
  const changes = [
    { name: 'shrinks to what runs', before: 2, to: 3200, after: 2, running: 2 },
    { name: 'shrinks below what runs', before: 2, to: 1700, after: 2, running: 2 },
    { name: 'shrinks so that one more would fit no longer', before: 1, to: 3000, after: 2, running: 1 },
    { name: 'shrinks to nothing', before: 1, to: 0, after: 1, running: 1 },
    { name: 'grows', before: 2, to: 6500, after: 2, running: 4 }
  ]
  it.each(changes)('$name: what runs goes on, and starts go by what was told last', async ({ before, to, after, running }) => {
    const network = await setUp()
    network.submit(0, 'before', before, LONG)
    await network.advance(50)
    network.setCapacity(0, cpu(to))
    network.submit(0, 'after', after, LONG)
    await network.advance(100)
    expect(runningAt(network)).toBe(running)
    await network.advance(400)
    expect(network.jobEnds.get('before')).toEqual({ type: 'complete' })
    expect(network.agents[0]!.endpoint.startsOverCapacity).toEqual([])
  })

  it('shrinks below what runs: nothing starts until it fits, and then it does', async () => {
    const network = await setUp()
    network.submit(0, 'before', 2, LONG)
    await network.advance(50)
    network.setCapacity(0, cpu(1700))
    network.submit(0, 'after', 2, LONG)
    await network.advance(1200)
    expect(network.jobEnds.get('after')).toEqual({ type: 'complete' })
    expect(network.agents[0]!.endpoint.startsOverCapacity).toEqual([])
  })

  it('shrinks to nothing and grows again: what waits starts soon', async () => {
    const network = await setUp()
    network.setCapacity(0, cpu(0))
    await network.advance(100)
    network.submit(0, 'refused', 1, LONG)
    await network.advance(50)
    expect(network.jobEnds.get('refused')).toMatchObject({ type: 'refused', reason: 'no_endpoint' })
    network.setCapacity(0, cpu(4000))
    await network.advance(20)
    network.submit(0, 'taken', 1, LONG)
    await network.advance(50)
    expect(runningAt(network)).toBe(1)
  })

  it('the entry hears of each change once, and its view of the endpoint goes on', async () => {
    const network = await setUp(2)
    const heard: Array<{ change: string, cpuMilli: number }> = []
    network.onAgentChanged = ({ capacity }, change) => heard.push({ change, cpuMilli: capacity.cpuMilli })
    for (const cpuMilli of [8000, 8000, 1700]) {
      network.setCapacity(0, cpu(cpuMilli))
      await network.advance(20)
    }
    expect(heard).toEqual([{ change: 'capacity', cpuMilli: 8000 }, { change: 'capacity', cpuMilli: 1700 }])
    network.restartEndpoint(0)
    await network.advance(100)
    expect(heard.slice(2)).toContainEqual({ change: 'endpoint', cpuMilli: 4000 })
  })

  it.each([{ fault: 'lost' as const }, { fault: 'answer_lost' as const }])('a start whose answer is $fault is not repeated beyond a capacity that has shrunk', async ({ fault }) => {
    const network = await setUp()
    const { endpoint } = network.agents[0]!
    network.submit(0, 'j', 1, LONG)
    await network.advance(50)
    endpoint.fault = (call) => call === 'start' ? fault : 'none'
    network.submit(0, 'k', 1, LONG)
    await network.advance(30)
    network.setCapacity(0, cpu(1700))
    endpoint.fault = () => 'none'
    await network.advance(200)
    expect(endpoint.startsOverCapacity).toEqual([])
  })

  it('whatever changes when, no start brings what runs over the capacity told last', async () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant('capacity' as const), agent: fc.nat(1), cpuMilli: fc.integer({ min: 0, max: 9000 }) }),
      fc.record({ type: fc.constant('submit' as const), entry: fc.nat(1), count: fc.integer({ min: 1, max: 4 }) }),
      fc.record({ type: fc.constant('restart_agent' as const), agent: fc.nat(1) }),
      fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 5, max: 200 }) })
    )
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 25 }), async (steps) => {
      const network = new LeasedNetwork(2, 2)
      await network.advance(200)
      for (const [index, act] of steps.entries()) {
        if (act.type === 'capacity') network.setCapacity(act.agent, cpu(act.cpuMilli))
        if (act.type === 'submit') network.submit(act.entry, `j${index}`, act.count, LONG)
        if (act.type === 'restart_agent') network.killAgent(act.agent)
        await network.advance(act.type === 'wait' ? act.ms : 5)
      }
      for (const { startsOverCapacity: overfilled } of network.endpoints) expect(overfilled).toEqual([])
      expect(overlappingRuns(network.endpoints)).toEqual([])
    }), { seed: 31, numRuns: 60 })
  }, 60_000)

  it('the check notices a capacity that is not passed on', async () => {
    const network = new LeasedNetwork(1, 1, LEASE_TIMES)
    await network.advance(500)
    network.agents[0]!.endpoint.announcedCpuMilli = 1700
    network.submit(0, 'j', 2, LONG)
    await network.advance(50)
    expect(network.agents[0]!.endpoint.startsOverCapacity).not.toEqual([])
  })
})
