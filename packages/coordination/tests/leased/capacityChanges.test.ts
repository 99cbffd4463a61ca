import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork, LEASE_TIMES } from './leasedNetwork.js'

/** Capacity of an endpoint; each task of these jobs needs 1600 milli-cores. */
const capacityOf = (cpuMilli: number) => ({ cpuMilli, memoryMb: 4000 })
/** Jobs that may wait for seconds. */
const PATIENT = { objective: { stretch: 20, slackMs: 4000, lateFactor: 3 }, deadlineMs: 10_000 }

const startNetwork = async (agents = 1): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(1, agents)
  await network.advance(500)
  for (const { endpoint } of network.agents) endpoint.runMs = 300
  return network
}

const countOpenRuns = (network: LeasedNetwork): number => network.endpoints.reduce((sum, { openRuns }) => sum + openRuns.length, 0)

describe('a capacity that changes while tasks run', () => {
  const changes = [
    { name: 'shrinks to the use of two tasks', before: 2, cpuMilli: 3200, after: 2, running: 2 },
    { name: 'shrinks below the use of two tasks', before: 2, cpuMilli: 1700, after: 2, running: 2 },
    { name: 'shrinks, and no task fits beside one', before: 1, cpuMilli: 3000, after: 2, running: 1 },
    { name: 'shrinks to 0 while a task runs', before: 1, cpuMilli: 0, after: 1, running: 1 },
    { name: 'grows so that two more tasks fit', before: 2, cpuMilli: 6500, after: 2, running: 4 }
  ]
  it.each(changes)('$name: running tasks complete, and starts keep to the new capacity', async ({ before, cpuMilli, after, running }) => {
    const network = await startNetwork()
    network.submit(0, 'before', before, PATIENT)
    await network.advance(50)
    network.setCapacity(0, capacityOf(cpuMilli))
    network.submit(0, 'after', after, PATIENT)
    await network.advance(100)
    expect(countOpenRuns(network)).toBe(running)
    await network.advance(400)
    expect(network.jobEnds.get('before')).toEqual({ type: 'complete' })
    expect(network.agents[0]!.endpoint.startsOverCapacity).toEqual([])
  })

  it('shrinks below what two running tasks use: waiting tasks start as soon as they fit', async () => {
    const network = await startNetwork()
    network.submit(0, 'before', 2, PATIENT)
    await network.advance(50)
    network.setCapacity(0, capacityOf(1700))
    network.submit(0, 'after', 2, PATIENT)
    await network.advance(1200)
    expect(network.jobEnds.get('after')).toEqual({ type: 'complete' })
    expect(network.agents[0]!.endpoint.startsOverCapacity).toEqual([])
  })

  it('shrinks to 0 and grows again: a job is refused meanwhile, and the next one starts soon', async () => {
    const network = await startNetwork()
    network.setCapacity(0, capacityOf(0))
    await network.advance(100)
    network.submit(0, 'refused', 1, PATIENT)
    await network.advance(50)
    expect(network.jobEnds.get('refused')).toMatchObject({ type: 'refused', reason: 'no_endpoint' })
    network.setCapacity(0, capacityOf(4000))
    await network.advance(20)
    network.submit(0, 'taken', 1, PATIENT)
    await network.advance(50)
    expect(countOpenRuns(network)).toBe(1)
  })

  it('an entry is notified of each change once, and takes the endpoint for a new incarnation only when it restarts', async () => {
    const network = await startNetwork(2)
    const notified: Array<{ change: string, cpuMilli: number }> = []
    network.onAgentChanged = ({ capacity }, change) => notified.push({ change, cpuMilli: capacity.cpuMilli })
    for (const cpuMilli of [8000, 8000, 1700]) {
      network.setCapacity(0, capacityOf(cpuMilli))
      await network.advance(20)
    }
    expect(notified).toEqual([{ change: 'capacity', cpuMilli: 8000 }, { change: 'capacity', cpuMilli: 1700 }])
    network.restartEndpoint(0)
    await network.advance(100)
    expect(notified.slice(2)).toContainEqual({ change: 'endpoint', cpuMilli: 4000 })
  })

  it.each([{ fault: 'lost' as const }, { fault: 'answer_lost' as const }])('a start with the fault $fault is not repeated when it would exceed a capacity that has shrunk meanwhile', async ({ fault }) => {
    const network = await startNetwork()
    const { endpoint } = network.agents[0]!
    network.submit(0, 'j', 1, PATIENT)
    await network.advance(50)
    endpoint.fault = (call) => call === 'start' ? fault : 'none'
    network.submit(0, 'k', 1, PATIENT)
    await network.advance(30)
    network.setCapacity(0, capacityOf(1700))
    endpoint.fault = () => 'none'
    await network.advance(200)
    expect(endpoint.startsOverCapacity).toEqual([])
  })

  it('no start exceeds the latest capacity under random changes, submissions and agent restarts', async () => {
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
        if (act.type === 'capacity') network.setCapacity(act.agent, capacityOf(act.cpuMilli))
        if (act.type === 'submit') network.submit(act.entry, `j${index}`, act.count, PATIENT)
        if (act.type === 'restart_agent') network.killAgent(act.agent)
        await network.advance(act.type === 'wait' ? act.ms : 5)
      }
      for (const { startsOverCapacity } of network.endpoints) expect(startsOverCapacity).toEqual([])
      expect(overlappingRuns(network.endpoints)).toEqual([])
    }), { seed: 31, numRuns: 60 })
  }, 60_000)

  it('startsOverCapacity lists starts of an agent that was not notified of a smaller capacity', async () => {
    const network = new LeasedNetwork(1, 1, LEASE_TIMES)
    await network.advance(500)
    network.agents[0]!.endpoint.announcedCpuMilli = 1700
    network.submit(0, 'j', 2, PATIENT)
    await network.advance(50)
    expect(network.agents[0]!.endpoint.startsOverCapacity).not.toEqual([])
  })
})
