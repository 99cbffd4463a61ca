import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

/** Time in which all sessions open. */
const JOIN_MS = 400
/** Time from the end of a connection until its caller submits the job again. */
const RESUBMIT_MS = 1300
/** Longer than `RESUBMIT_MS`, so that a run that is not ended overlaps with that of the resubmission. */
const RUN_MS = 2500
const BLOCKED_MS = 50

const startNetwork = async (): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(2, 2)
  network.mergesFrames = true
  await network.advance(JOIN_MS)
  for (const endpoint of network.endpoints) endpoint.runMs = RUN_MS
  return network
}

describe('a request to end a run that leaves in one frame with its start', () => {
  const cases: Array<{ name: string, submitAndLeave: (network: LeasedNetwork) => Promise<void> }> = [
    {
      name: 'the caller leaves before the frame is sent',
      submitAndLeave: async (network) => {
        let leave = (): void => {}
        network.onSent = () => queueMicrotask(() => leave())
        leave = network.submit(0, 'j', 1, { estimateMs: RUN_MS }).leave
        await network.advance(BLOCKED_MS)
        network.onSent = () => {}
      }
    },
    {
      name: 'the caller leaves while the connection takes no more frames',
      submitAndLeave: async (network) => {
        for (const agent of [0, 1]) network.block(agent, 0, true)
        const { leave } = network.submit(0, 'j', 1, { estimateMs: RUN_MS })
        await network.advance(BLOCKED_MS)
        leave()
        for (const agent of [0, 1]) network.block(agent, 0, false)
      }
    }
  ]

  // The run would never be ended, and overlap with that of the job at the entry that its caller turns to.
  it.each(cases)('no task runs twice: $name', async ({ submitAndLeave }) => {
    const network = await startNetwork()
    await submitAndLeave(network)
    await network.advance(RESUBMIT_MS)
    network.submit(1, 'j', 1, { estimateMs: RUN_MS })
    await network.advance(RUN_MS + 1000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
    expect(network.endedStartCounts.get('done')).toBe(1)
  })
})
