import { create } from '@bufbuild/protobuf'
import { AgentFrameSchema, EndpointStateSchema, HelloSchema, ResumeSchema } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

/** Time in which all sessions open. */
const JOIN_MS = 400
const RUN_MS = 1500
/** Time in which an agent that lives has dialled again, and its sessions have opened. */
const REDIAL_MS = 400

/** The first frame of a session, and when entry 0 welcomed the agent on it, on the entry's clock. */
interface Introduction {
  frame: AgentFrame
  welcomedAt: number
}

/** The first frame that an agent sends on a session if nothing runs there. */
const introduce = (network: LeasedNetwork, agent: number): Introduction => {
  const frame = create(AgentFrameSchema, {
    hello: create(HelloSchema, { agentId: `a${agent}`, incarnation: network.agents[agent]!.incarnation, zone: 'z' }),
    resume: create(ResumeSchema),
    endpoint: create(EndpointStateSchema, { service: 's', incarnation: `i${agent}` }),
    stampMs: network.agents[agent]!.process.now()
  })
  return { frame, welcomedAt: network.entries[0]!.process.now() }
}

/**
 * Delivers such a frame to entry 0, on a connection that ends at once.
 *
 * @returns true if the entry opened the session
 */
const deliver = (network: LeasedNetwork, { frame, welcomedAt }: Introduction): boolean => {
  const { sessions } = network.entries[0]!.dispatcher
  if (sessions.isOutdated(frame.hello!, frame.stampMs, welcomedAt)) return false
  const link = { add: () => {}, acknowledge: () => {}, close: () => {} }
  const agent = sessions.open(frame.hello!, link)
  sessions.onFrame(agent, link, frame)
  sessions.closed(agent, link)
  return true
}

/** Opens a session of an agent with entry 0 whose first frame stays pending; `leave` fills it as it leaves. */
const openPending = (network: LeasedNetwork, index: number): { leave: () => Introduction } => {
  const { incarnation } = network.entries[0]!
  const { host } = network.agents[index]!
  const { frame, welcomedAt } = introduce(network, index)
  const add = (change: (frame: AgentFrame) => void): void => change(frame)
  host.openSession(incarnation, add)
  return {
    leave: () => {
      host.fillFrame(incarnation, add, frame)
      return { frame, welcomedAt }
    }
  }
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
    const delayed = [0, 1].map((agent) => introduce(network, agent))
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

describe('the delayed first frame of an earlier process of an agent, while a task runs that was sent to the present one', () => {
  const cases = [
    { name: 'the entry never heard of the earlier process', isKnown: false },
    { name: 'the entry had a session with the earlier process', isKnown: true }
  ]
  it.each(cases)('$name: the task goes on, and does not run elsewhere at the same time', async ({ isKnown }) => {
    const network = new LeasedNetwork(1, 2)
    if (!isKnown) for (const agent of [0, 1]) network.cut(agent, 0, true)
    await network.advance(JOIN_MS)
    const delayed = [0, 1].map((agent) => introduce(network, agent))
    for (const agent of [0, 1]) {
      network.killAgent(agent)
      network.cut(agent, 0, false)
    }
    await network.advance(JOIN_MS)
    for (const endpoint of network.endpoints) endpoint.runMs = RUN_MS
    network.submit(0, 'j', 1, { estimateMs: RUN_MS })
    await network.advance(200)
    deliver(network, delayed[runnerOf(network)]!)
    await network.advance(RUN_MS + REDIAL_MS)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
    expect(network.endedStartCounts.get('done')).toBe(1)
  })
})

describe('an agent whose process was replaced', () => {
  it('is heard at once, though the entry hears the first frame of the earlier process last', async () => {
    const network = new LeasedNetwork(1, 1)
    network.cut(0, 0, true)
    await network.advance(JOIN_MS)
    const earlier = introduce(network, 0)
    network.killAgent(0)
    const present = introduce(network, 0)
    await network.advance(20)
    expect(deliver(network, present)).toBe(true)
    expect(deliver(network, earlier)).toBe(false)
  })

  it('is heard when it dials again, if the entry has heard the earlier process after it welcomed the present one', async () => {
    const network = new LeasedNetwork(1, 1)
    network.cut(0, 0, true)
    await network.advance(JOIN_MS)
    const earlier = introduce(network, 0)
    network.killAgent(0)
    const present = introduce(network, 0)
    await network.advance(20)
    expect(deliver(network, earlier)).toBe(true)
    expect(deliver(network, present)).toBe(false)
    network.cut(0, 0, false)
    await network.advance(50)
    network.submit(0, 'j', 1)
    await network.advance(200)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
  })
})

describe('the first frame of a session that leaves after another one has replaced it', () => {
  it('opens no session at the entry: a task that was sent on the later one goes on, and does not run elsewhere at the same time', async () => {
    const network = await startNetwork()
    const pending = [0, 1].map((agent) => openPending(network, agent))
    network.resetConnections(0)
    await network.advance(REDIAL_MS)
    network.submit(0, 'j', 1, { estimateMs: RUN_MS })
    await network.advance(200)
    const wasOpened = deliver(network, pending[runnerOf(network)]!.leave())
    await network.advance(RUN_MS + REDIAL_MS)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect({ wasOpened, overlaps: overlappingRuns(network.endpoints) }).toEqual({ wasOpened: false, overlaps: [] })
  })
})
