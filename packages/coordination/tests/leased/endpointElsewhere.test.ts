// Guards against runs that an entry counts as terminated because the agent's next process
// reports an endpoint: that process has found nothing at that address, and knows of no other.
import { describe, expect, it } from 'vitest'
import { terminationBoundMs } from '../../src/index.js'
import { overlappingRuns } from './fakeEndpoint.js'
import { LEASE_TIMES, LeasedNetwork } from './leasedNetwork.js'

const RUN_MS = 1500
/** Time in which all sessions open. */
const JOIN_MS = 400

/** A network of one entry and one agent, whose endpoint runs the task of a job. */
const runTask = async () => {
  const network = new LeasedNetwork(1, 1)
  await network.advance(JOIN_MS)
  const { endpoint } = network.agents[0]!
  endpoint.runMs = RUN_MS
  network.submit(0, 'j', 1, { deadlineMs: 20_000 })
  await network.advance(300)
  expect(endpoint.openRuns).toHaveLength(1)
  return { network, endpoint }
}

describe('a run of an agent that died, beside another endpoint of its next process', () => {
  it.each(['b:1', 'c:1'])('has terminated when its task begins again (next endpoint at %s)', async (address) => {
    const { network } = await runTask()
    network.replaceAgentAndEndpoint(0, address)
    await network.advance(6000)
    expect(overlappingRuns(network.endpoints)).toEqual([])
    expect(network.jobEnds.get('j')?.type).toBe('complete')
  })

  it('is known to have terminated before the bound by time if the next endpoint is at its address', async () => {
    const { network, endpoint } = await runTask()
    endpoint.crash()
    const diedAt = network.clock.now()
    network.replaceAgentAndEndpoint(0, endpoint.address)
    await network.advance(6000)
    const [again] = network.agents[0]!.endpoint.endedRuns
    expect(overlappingRuns(network.endpoints)).toEqual([])
    expect(again!.startedAt - diedAt).toBeLessThan(terminationBoundMs(LEASE_TIMES))
  })
})
