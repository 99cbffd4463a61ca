import { create, toBinary } from '@bufbuild/protobuf'
import { AgentFrameSchema, EntryFrameSchema, HelloSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { seededRandom } from '@hazellift/common'
import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { HostSessions } from './hostSessions.js'
import type { LeasedAgent } from './leasedAgent.js'
import { LeasedFleet } from './leasedFleet.js'
import { LeasedSessions } from './leasedSessions.js'

const TIMES = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
const SWEEP_MS = 25
/** Interval of frames from an idle agent. */
const KEEP_ALIVE_MS = 150
/** Packed size of a document for a fleet of hundreds of endpoints, about 10 KB unpacked. */
const DOCUMENT_BYTES = 2500
/** Capacity of a 2 Mbit/s link in 100 ms. */
const LINK_BYTES = 25_000

interface Sent {
  at: number
  bytes: number
  frame: EntryFrame
}

/** An entry with sessions to agents that report their document version; frames are sent at the next flush after they were requested. */
class EntryFixture {
  readonly clock = createFakeClock()
  readonly sent: Sent[] = []
  readonly newer: bigint[] = []
  readonly sessions: LeasedSessions
  readonly agents: LeasedAgent[] = []
  /** Version of the document that each agent has. */
  readonly replicaVersions: bigint[] = []
  /** Frames that were requested and not sent yet, by agent. */
  private readonly pending = new Map<number, EntryFrame>()

  constructor (agents: number) {
    const { clock } = this
    const fleet = new LeasedFleet({ clock, random: seededRandom(1), zone: 'z', maxEjectedShare: 0.4, ejectionBackoff: () => 1000 })
    this.sessions = new LeasedSessions({
      clock,
      times: TIMES,
      fleet,
      events: { agentChanged: () => {}, agentLost: () => {}, resumed: () => {}, configSeen: (version) => this.newer.push(version), evacuationsChanged: () => {} },
      onResult: () => {},
      onNotStarted: () => {},
      onLost: () => {},
      schedule: () => {}
    })
    for (let index = 0; index < agents; index++) this.connect(index)
  }

  /** Advances time. Agents store a document at once when it is sent, or never if the link is stalled. */
  run (ms: number, isLinkStalled = false): void {
    for (let passed = 0; passed < ms; passed += SWEEP_MS) {
      this.sessions.sweep(this.clock.now())
      this.flush(isLinkStalled)
      if (passed % KEEP_ALIVE_MS === 0) for (const [index, { link }] of this.agents.entries()) if (link !== undefined) this.receive(index, { configVersion: this.replicaVersions[index]! })
      this.flush(isLinkStalled)
      this.clock.advance(SWEEP_MS)
    }
  }

  /** Delivers a frame from an agent. */
  receive (index: number, frame: Partial<AgentFrame>): void {
    const agent = this.agents[index]!
    this.sessions.onFrame(agent, agent.link!, create(AgentFrameSchema, { stampMs: this.clock.now(), ...frame } as AgentFrame))
  }

  /** Sends the requested frames. */
  flush (isLinkStalled = false): void {
    for (const [index, frame] of this.pending) {
      this.sessions.fillFrame(this.agents[index]!, frame)
      this.sent.push({ at: this.clock.now(), bytes: toBinary(EntryFrameSchema, frame).length, frame })
      if (frame.config.length > 0 && !isLinkStalled) this.replicaVersions[index] = frame.configVersion
    }
    this.pending.clear()
  }

  /** Frames that carried a document. */
  get documents (): Sent[] {
    return this.sent.filter(({ frame }) => frame.config.length > 0)
  }

  private connect (index: number): void {
    const add = (change: (frame: EntryFrame) => void): void => {
      const frame = this.pending.get(index) ?? create(EntryFrameSchema)
      change(frame)
      this.pending.set(index, frame)
    }
    const link = { add, acknowledge: () => {}, close: () => {} }
    this.agents.push(this.sessions.open(create(HelloSchema, { agentId: `a${index}`, incarnation: `i${index}`, zone: 'z' }), link))
    this.replicaVersions.push(0n)
  }
}

const documentOf = (version: bigint): Uint8Array => new Uint8Array(DOCUMENT_BYTES).fill(Number(version))

describe('bytes sent by an entry for changes of the configuration', () => {
  const changes: Array<{ name: string, agents: number, versions: bigint[], gapMs: number, isLinkStalled: boolean, maxBytes: number }> = [
    { name: 'stay below 20 KB for one change with 160 agents', agents: 160, versions: [1n], gapMs: 2000, isLinkStalled: false, maxBytes: 20_000 },
    { name: 'stay below 20 KB for one change with 160 agents over a stalled link', agents: 160, versions: [1n], gapMs: 2000, isLinkStalled: true, maxBytes: 20_000 },
    { name: 'stay below 120 KB for three changes a second over four seconds', agents: 160, versions: [1n, 2n, 3n, 4n, 5n, 6n, 7n, 8n, 9n, 10n, 11n, 12n], gapMs: 325, isLinkStalled: false, maxBytes: 120_000 }
  ]
  it.each(changes)('$name', ({ agents, versions, gapMs, isLinkStalled, maxBytes }) => {
    const entry = new EntryFixture(agents)
    for (const version of versions) {
      entry.sessions.setConfig(version, documentOf(version))
      entry.run(gapMs, isLinkStalled)
    }
    const { documents } = entry
    expect(documents.length).toBeGreaterThan(0)
    expect(documents.reduce((sum, { bytes }) => sum + bytes, 0)).toBeLessThan(maxBytes)
    for (const { at } of documents) {
      const recent = documents.filter((other) => other.at >= at && other.at < at + 100)
      expect(recent.reduce((sum, { bytes }) => sum + bytes, 0)).toBeLessThanOrEqual(LINK_BYTES / 5)
    }
  })

  it('replicas of the document are replaced when they disconnect', () => {
    const entry = new EntryFixture(6)
    entry.sessions.setConfig(1n, documentOf(1n))
    entry.run(600)
    const replicas = entry.replicaVersions.flatMap((version, index) => version === 1n ? [index] : [])
    expect(replicas).toHaveLength(3)
    const departed = entry.agents[replicas[0]!]!
    entry.sessions.closed(departed, departed.link!)
    entry.run(300)
    expect(entry.replicaVersions.filter((version) => version === 1n)).toHaveLength(4)
  })
})

describe('a configuration document', () => {
  it('is sent with its own version if a newer one came into force after the frame was requested', () => {
    const entry = new EntryFixture(1)
    entry.sessions.setConfig(1n, documentOf(1n))
    entry.sessions.sweep(entry.clock.now())
    entry.sessions.setConfig(2n, documentOf(2n))
    entry.flush()
    for (const { frame } of entry.documents) expect(frame.config).toEqual(documentOf(frame.configVersion))
    expect(entry.documents.length).toBeGreaterThan(0)
  })

  it('is sent by an agent with its own version if a newer one arrived after the frame was requested', () => {
    const sessions = new HostSessions(createFakeClock())
    const changes: Array<(frame: AgentFrame) => void> = []
    const add = (change: (frame: AgentFrame) => void): void => { changes.push(change) }
    sessions.begin('e', add, [], false)
    const session = sessions.find('e', add)!
    sessions.onConfig(session, create(EntryFrameSchema, { configVersion: 1n, config: documentOf(1n) }))
    sessions.onConfig(session, create(EntryFrameSchema, { wantsConfig: true }))
    sessions.onConfig(session, create(EntryFrameSchema, { configVersion: 2n, config: documentOf(2n) }))
    const frame = create(AgentFrameSchema)
    for (const change of changes) change(frame)
    sessions.fillFrame('e', add, frame)
    expect(frame.config).toEqual(documentOf(frame.configVersion))
  })
})

describe('an entry that learns of a newer document', () => {
  const requestCases: Array<{ name: string, ownVersion: bigint, isUnconfirmed?: boolean, waitMs: number, requests: number }> = [
    { name: 'requests nothing within 200 ms, so that the store can deliver it', ownVersion: 1n, waitMs: 200, requests: 0 },
    { name: 'requests it from one agent if the store has not delivered it after 400 ms', ownVersion: 1n, waitMs: 400, requests: 1 },
    { name: 'requests it at once if it has no document', ownVersion: 0n, waitMs: 50, requests: 1 },
    { name: 'requests it at once while its own document is unconfirmed', ownVersion: 1n, isUnconfirmed: true, waitMs: 50, requests: 1 },
    { name: 'requests it only once in 200 ms while its own document is unconfirmed', ownVersion: 1n, isUnconfirmed: true, waitMs: 200, requests: 1 }
  ]
  it.each(requestCases)('$name', ({ ownVersion, isUnconfirmed = false, waitMs, requests }) => {
    const entry = new EntryFixture(4)
    entry.sessions.setConfigUnconfirmed(isUnconfirmed)
    if (ownVersion > 0n) entry.sessions.setConfig(ownVersion, documentOf(ownVersion))
    entry.replicaVersions.fill(2n)
    entry.run(waitMs)
    expect(entry.sent.filter(({ frame }) => frame.wantsConfig)).toHaveLength(requests)
  })

  it('requests it from another agent when one does not answer, and reports the document received', () => {
    const entry = new EntryFixture(4)
    entry.replicaVersions.fill(2n)
    entry.run(700)
    expect(entry.sent.filter(({ frame }) => frame.wantsConfig).length).toBeGreaterThan(1)
    entry.receive(0, { configVersion: 2n, config: documentOf(2n) })
    expect(entry.newer).toEqual([2n])
  })
})
