import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

/** Time in which all sessions open. */
const JOIN_MS = 400
const RUN_MS = 2500
/** The entry takes the runs of an agent for terminated that was silent for so long. */
const FREEZE_MS = 1300
/** Time in which an agent that resumes has dialled again, while its endpoint is not taken for unresponsive yet. */
const REDIAL_MS = 70
/** Small, so that the agent's endpoint has room for more than one more task beside a run: else a start needs a fresh offer of capacity. */
const NEED = { cpuMilli: 800, memoryMb: 64 }

describe('the outcome of a start, late until the job was submitted again and another start of its task is on the way to the same agent', () => {
  it('is not taken for that of the later start', async () => {
    const network = new LeasedNetwork(1, 2)
    await network.advance(JOIN_MS)
    for (const endpoint of network.endpoints) endpoint.runMs = RUN_MS
    const { leave } = network.submit(0, 'j', 1, { estimateMs: RUN_MS, need: NEED })
    await network.advance(100)
    const runner = network.agents.findIndex(({ endpoint }) => endpoint.openRuns.length > 0)
    const { process, endpoint } = network.agents[runner]!
    // The entry loses the run by time; when the agent resumes, its endpoint does not answer at first.
    process.freeze(FREEZE_MS)
    leave()
    await network.advance(FREEZE_MS - 100)
    endpoint.fault = () => 'lost'
    await network.advance(100 + REDIAL_MS)
    expect(endpoint.openRuns).toEqual([])
    // The start and the earlier outcome cross each other; only this agent can take the start.
    for (const agent of [0, 1]) network.cut(agent, 0, agent === runner)
    network.setCapacity(1 - runner, { cpuMilli: 0, memoryMb: 0 })
    await network.advance(10)
    network.submit(0, 'j', 1, { estimateMs: RUN_MS, need: NEED })
    await network.advance(10)
    endpoint.fault = () => 'none'
    await network.advance(150)
    network.setCapacity(1 - runner, { cpuMilli: 4000, memoryMb: 4000 })
    network.cut(runner, 0, false)
    await network.advance(3 * RUN_MS)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})
