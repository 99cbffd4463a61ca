import { REASONS } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { LeasedNetwork } from './leasedNetwork.js'

/** Time in which all sessions open. */
const JOIN_MS = 400
/** An agent whose connection was reset has dialled again by then, if it lives. */
const RECONNECT_MS = 300
const RUN_MS = 60
/** An agent without frames for so long still gets its session back before the entry considers its runs terminated. */
const SILENCE_MS = 450

const startNetwork = async (): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(1, 2)
  for (const { endpoint } of network.agents) endpoint.runMs = RUN_MS
  await network.advance(JOIN_MS)
  return network
}

const endOf = (network: LeasedNetwork, id: string): string | undefined => {
  const end = network.jobEnds.get(id)
  return end === undefined || end.type === 'complete' ? end?.type : end.reason
}

describe('an entry whose connections from agents are silent or were reset', () => {
  it('takes jobs while agents dial again', async () => {
    const network = await startNetwork()
    network.resetConnections(0)
    network.submit(0, 'j', 1)
    await network.advance(1000)
    expect(endOf(network, 'j')).toBe('complete')
  })

  it('refuses jobs at once when no agent has dialled again', async () => {
    const network = await startNetwork()
    for (const agent of [0, 1]) network.killAgent(agent, false)
    await network.advance(RECONNECT_MS)
    network.submit(0, 'j', 1)
    await network.advance(5)
    expect(endOf(network, 'j')).toBe(REASONS.noEndpoint)
  })

  it('moves no run whose result cannot arrive', async () => {
    const network = await startNetwork()
    // Teaches the entry the usual run time.
    for (let job = 0; job < 4; job++) network.submit(0, `t${job}`, 2, { estimateMs: RUN_MS })
    await network.advance(500)
    network.submit(0, 'j', 1, { estimateMs: RUN_MS })
    await network.advance(20)
    const runner = network.agents.findIndex(({ endpoint }) => endpoint.openRuns.length > 0)
    await network.silence(runner, 0, SILENCE_MS)
    await network.advance(1000)
    expect(endOf(network, 'j')).toBe('complete')
    expect(network.movedRunCount).toBe(0)
  })
})
