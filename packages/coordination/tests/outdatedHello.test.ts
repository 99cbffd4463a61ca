import { create } from '@bufbuild/protobuf'
import { HelloSchema } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { FakeNetwork } from './fakeNetwork.js'
import { LeasedNetwork } from './leased/leasedNetwork.js'

/** Time in which an agent for ephemeral jobs has opened its session and sent frames. */
const JOIN_MS = 400

const dispatchers = {
  'durable jobs': async () => {
    const network = new FakeNetwork(1, 1)
    network.deliverAll()
    const { id, incarnation } = network.agents[0]!
    return { dispatcher: network.entries[0]!.dispatcher, agentId: id, incarnation: String(incarnation), now: network.clock.now() }
  },
  'ephemeral jobs': async () => {
    const network = new LeasedNetwork(1, 1)
    await network.advance(JOIN_MS)
    return { dispatcher: network.entries[0]!.dispatcher.sessions, agentId: 'a0', incarnation: network.agents[0]!.incarnation, now: network.clock.now() }
  }
}

const hellos = [
  { sent: 'before the last frame of the agent', agoMs: 300, isOutdated: true },
  { sent: 'now', agoMs: 0, isOutdated: false },
  { sent: 'by another process of the agent', otherIncarnation: 'other', agoMs: 300, isOutdated: false },
  { sent: 'by another process, which the entry welcomed before the known one was first heard', otherIncarnation: 'other', welcomedAt: -1, agoMs: 300, isOutdated: true },
  { sent: 'by another process, which the entry welcomed when the known one was first heard', otherIncarnation: 'other', welcomedAt: 0, agoMs: 300, isOutdated: true },
  { sent: 'by another agent', otherAgent: 'other', agoMs: 300, isOutdated: false }
]

// Taken for the present session, a delayed one would say that the agent lacks what has started since, and that would start a second time.
describe.each(Object.entries(dispatchers))('a hello to an entry with %s', (_, start) => {
  it.each(hellos)('that was sent $sent is outdated: $isOutdated', async ({ agoMs, otherIncarnation, otherAgent, welcomedAt, isOutdated }) => {
    const { dispatcher, agentId, incarnation, now } = await start()
    const hello = create(HelloSchema, { agentId: otherAgent ?? agentId, incarnation: otherIncarnation ?? incarnation, zone: '' })
    expect(dispatcher.isOutdated(hello, now - agoMs, welcomedAt ?? now + 1)).toBe(isOutdated)
  })
})
