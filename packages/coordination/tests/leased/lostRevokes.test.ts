import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

/** Time in which all sessions open. */
const JOIN_MS = 400
/** Time from the end of a connection until its caller submits the job again. */
const RESUBMIT_MS = 1300
/** Longer than `RESUBMIT_MS`, so that a run that is not ended overlaps with that of the resubmission. */
const RUN_MS = 2500

/** Far longer than a job's deadline. */
const HANGING_RUN_MS = 60_000

const startNetwork = async (): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(2, 2)
  await network.advance(JOIN_MS)
  for (const endpoint of network.endpoints) endpoint.runMs = RUN_MS
  return network
}

describe('a request to end a run that is lost with its session', () => {
  const losses: Array<{ name: string, act: (network: LeasedNetwork, leave: () => void) => void | Promise<void> }> = [
    {
      name: 'connections are reset, then the caller leaves',
      act: (network, leave) => {
        network.resetConnections(0)
        leave()
      }
    },
    {
      name: 'the caller leaves, then connections are reset',
      act: (network, leave) => {
        leave()
        network.resetConnections(0)
      }
    },
    {
      name: 'the caller leaves while connections are silent',
      act: async (network, leave) => {
        for (const agent of [0, 1]) network.cut(agent, 0, true)
        leave()
        await network.silence(0, 0, 300)
        await network.silence(1, 0, 0)
      }
    }
  ]

  // A run that nobody wants must end before its caller sends the job to another entry.
  it('no task runs twice', async () => {
    const overlaps: Record<string, string[]> = {}
    for (const { name, act } of losses) {
      const network = await startNetwork()
      const { leave } = network.submit(0, 'j', 1, { estimateMs: RUN_MS })
      await network.advance(100)
      await act(network, leave)
      await network.advance(RESUBMIT_MS)
      network.submit(1, 'j', 1, { estimateMs: RUN_MS })
      await network.advance(RUN_MS + 1000)
      expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
      overlaps[name] = overlappingRuns(network.endpoints)
    }
    expect(overlaps).toEqual(Object.fromEntries(losses.map(({ name }) => [name, []])))
  })
  it('a task that is to be moved runs elsewhere', async () => {
    const network = await startNetwork()
    for (const endpoint of network.endpoints) endpoint.runMs = HANGING_RUN_MS
    network.onMoved = () => network.resetConnections(0)
    network.submit(0, 'j', 1)
    await network.advance(50)
    for (const endpoint of network.endpoints) endpoint.runMs = 100
    await network.advance(RUN_MS)
    expect(network.movedRunCount).toBe(1)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})
