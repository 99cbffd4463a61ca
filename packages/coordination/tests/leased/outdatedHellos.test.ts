import { create } from '@bufbuild/protobuf'
import { AgentFrameSchema, HelloSchema, ResumeSchema } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

/** Time in which all sessions open. */
const JOIN_MS = 400
const RUN_MS = 1500
/** Time in which an agent that lives has dialled again, and its sessions have opened. */
const REDIAL_MS = 400

/** The first frame that an agent sent on a session, with nothing running there. */
const firstFrame = (network: LeasedNetwork, agent: number): AgentFrame => create(AgentFrameSchema, {
  hello: create(HelloSchema, { agentId: `a${agent}`, incarnation: network.agents[agent]!.incarnation, zone: 'z' }),
  resume: create(ResumeSchema),
  stampMs: network.agents[agent]!.process.now()
})

/** Delivers such a frame to entry 0, on a connection that ends at once. */
const deliver = (network: LeasedNetwork, frame: AgentFrame): void => {
  const { sessions } = network.entries[0]!.dispatcher
  if (sessions.isOutdated(frame.hello!, frame.stampMs)) return
  const link = { add: () => {}, acknowledge: () => {}, close: () => {} }
  const agent = sessions.open(frame.hello!, link)
  sessions.onFrame(agent, link, frame)
  sessions.closed(agent, link)
}

const startNetwork = async (): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(1, 2)
  await network.advance(JOIN_MS)
  for (const endpoint of network.endpoints) endpoint.runMs = RUN_MS
  return network
}

const runnerOf = (network: LeasedNetwork): number => network.agents.findIndex(({ endpoint }) => endpoint.openRuns.length > 0)

describe('the delayed first frame of a session that was replaced, while a task runs that was sent on a later one', () => {
  const cases: Array<{ name: string, act: (network: LeasedNetwork, runner: number) => Promise<void> }> = [
    { name: 'open', act: async () => {} },
    { name: 'reset', act: (network, runner) => network.silence(runner, 0, 50) },
    {
      name: 'ended by the entry after a suspension',
      act: async (network, runner) => {
        network.entries[0]!.process.suspend(100)
        await network.advance(100)
        network.cut(runner, 0, true)
        await network.advance(150)
      }
    }
  ]
  it.each(cases)('later session $name: the task goes on, and does not run elsewhere at the same time', async ({ act }) => {
    const network = await startNetwork()
    const delayed = [0, 1].map((agent) => firstFrame(network, agent))
    await network.advance(50)
    network.submit(0, 'j', 1, { estimateMs: RUN_MS })
    await network.advance(200)
    const runner = runnerOf(network)
    await act(network, runner)
    deliver(network, delayed[runner]!)
    await network.advance(50)
    network.cut(runner, 0, false)
    await network.advance(RUN_MS + REDIAL_MS)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
    expect(network.endedStartCounts.get('done')).toBe(1)
  })
})
