import { REASONS } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from '../leased/fakeEndpoint.js'
import { HandOnNetwork } from './handOnNetwork.js'

/** Time from the end of a connection until its caller submits the job again. */
const RESUBMIT_MS = 1300
/** Longer than `RESUBMIT_MS`, so that a run that is not ended overlaps with that of the resubmission. */
const RUN_MS = 2500
/** After this time agents and entries are connected, and the overload has lasted for long enough. */
const WARM_UP_MS = 1000
const OBJECTIVE = { stretch: 20, slackMs: 2000, lateFactor: 3 }

const submit = (network: HandOnNetwork, entry: number) => network.leased.submit(entry, 'j', 2, { objective: OBJECTIVE, estimateMs: RUN_MS })

type Act = (network: HandOnNetwork, leave: () => void) => void | Promise<void>

describe('a withdrawal of a job that was handed on, lost with its stream', () => {
  const losses: Array<{ name: string, act: Act }> = [
    {
      name: 'the caller leaves, then the stream is reset',
      act: (network, leave) => {
        leave()
        network.resetStream()
      }
    },
    {
      name: 'the stream is reset, then the caller leaves',
      act: (network, leave) => {
        network.resetStream()
        leave()
      }
    },
    {
      name: 'the caller leaves while the stream is silent, which is then reset',
      act: async (network, leave) => {
        network.cutStream({ toHost: true })
        leave()
        await network.advance(100)
        network.resetStream()
      }
    },
    {
      name: 'the caller leaves while the stream to the host is silent, and stays so',
      act: (network, leave) => {
        network.cutStream({ toHost: true })
        leave()
      }
    },
    {
      name: 'the caller leaves, and both the stream and the sessions of the host are reset',
      act: (network, leave) => {
        leave()
        network.resetStream()
        network.leased.resetConnections(1)
      }
    },
    {
      name: 'the stream is reset, and the sessions of the host are silent until they are replaced',
      act: async (network, leave) => {
        for (const agent of [0, 1, 2]) network.leased.cut(agent, 1, true)
        leave()
        network.resetStream()
        await network.advance(300)
        for (const agent of [0, 1, 2]) await network.leased.silence(agent, 1, 0)
      }
    }
  ]

  // A run that nobody wants must end before its caller sends the job to another entry.
  it.each(losses)('$name: no task runs twice, and the job completes when it is sent again', async ({ act }) => {
    const network = new HandOnNetwork(3, 3)
    for (const endpoint of network.leased.endpoints) endpoint.runMs = RUN_MS
    await network.advance(WARM_UP_MS)
    const { leave } = submit(network, 0)
    await network.advance(60)
    expect(network.counts.hosted).toBe(1)
    const leftAt = network.leased.clock.now()
    await act(network, leave)
    await network.advance(RESUBMIT_MS - (network.leased.clock.now() - leftAt))
    submit(network, 2)
    await network.advance(RUN_MS + 1000)
    // The host has ended the runs itself: the entry leases, which hold them to this bound in any case, are those of its own jobs too.
    expect(network.leased.endedStartCounts.get(REASONS.leaseExpired)).toBeUndefined()
    expect(overlappingRuns(network.leased.endpoints)).toEqual([])
    expect(network.leased.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(network.entries[1]!.host.size).toBe(0)
    expect(network.entries[0]!.router.outstanding).toBe(0)
  })
})

describe('the reply about a job that was handed on, lost with its stream', () => {
  it('the job is run again at its own entry, once nothing of it runs at the host', async () => {
    const network = new HandOnNetwork(3, 3)
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 200
    await network.advance(WARM_UP_MS)
    submit(network, 0)
    await network.advance(60)
    expect(network.counts.hosted).toBe(1)
    network.cutStream({ toCaller: true })
    await network.advance(300)
    network.resetStream()
    await network.advance(2500)
    expect(network.counts.returned).toEqual(['entry_lost placed'])
    expect(network.leased.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.leased.endpoints)).toEqual([])
  })
})
