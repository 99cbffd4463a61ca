import { create } from '@bufbuild/protobuf'
import { AgentFrameSchema, HelloSchema } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { createJob } from '../src/index.js'
import { FakeNetwork, JOB_BASE } from './fakeNetwork.js'
import type { FakeAgent } from './fakeNetwork.js'

const AGENTS = 2

/** Opens a session of an agent with entry 0 whose first frame stays pending; the returned function fills it as it leaves. */
const openPending = ({ entries }: FakeNetwork, { id, incarnation, host }: FakeAgent): () => AgentFrame => {
  const frame = create(AgentFrameSchema, { hello: create(HelloSchema, { agentId: id, incarnation: String(incarnation), zone: '' }) })
  const add = (change: (frame: AgentFrame) => void): void => change(frame)
  host.openSession(entries[0]!.incarnation, add)
  return () => {
    host.fillFrame(entries[0]!.incarnation, add, frame)
    return frame
  }
}

describe('the first frame of a session that leaves after another one has replaced it', () => {
  it('opens no session at the entry: a task that was sent on the later one does not start elsewhere', () => {
    const network = new FakeNetwork(1, AGENTS)
    const [entry] = network.entries
    network.deliverAll()
    const pending = network.agents.map((agent) => openPending(network, agent))
    for (const agent of network.agents) network.connect(entry!, agent)
    network.deliverAll()
    entry!.dispatcher.add(createJob({ ...JOB_BASE, id: 'j', payloads: ['p'] }))
    network.deliverAll()
    const runner = network.agents.findIndex(({ running }) => running.length > 0)
    network.clock.advance(1)
    const frame = pending[runner]!()
    const link = { add: () => {}, acknowledge: () => {}, close: () => {} }
    // As the entry's side of the transport does, which ignores frames before a hello.
    if (frame.hello !== undefined && !entry!.dispatcher.isOutdated(frame.hello, frame.stampMs, network.clock.now())) {
      entry!.dispatcher.onFrame(entry!.dispatcher.open(frame.hello, link), link, frame)
    }
    network.deliverAll()
    expect({ starts: network.starts.length, violations: network.violations }).toEqual({ starts: 1, violations: [] })
  })
})
