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
/** An agent with nothing to do is heard of this often. */
const KEEP_ALIVE_MS = 150
/** A document as packed for a fleet of hundreds of endpoints, of about 10 KB as written. */
const DOCUMENT_BYTES = 2500
/** Of a link of 2 Mbit/s, in a tenth of a second. */
const LINK_BYTES = 25_000

interface Sent {
  at: number
  bytes: number
  frame: EntryFrame
}

/** An entry with sessions to agents that say what they hold; frames leave a turn after they were asked for. */
class OneEntry {
  readonly clock = createFakeClock()
  readonly sent: Sent[] = []
  readonly newer: bigint[] = []
  readonly sessions: LeasedSessions
  readonly agents: LeasedAgent[] = []
  readonly held: bigint[] = []
  /** Frames that were asked for and have not left. */
  private readonly pending = new Map<number, EntryFrame>()

  constructor (agents: number) {
    const { clock } = this
    const fleet = new LeasedFleet({ clock, random: seededRandom(1), zone: 'z', maxEjectedShare: 0.4, ejectionBackoff: () => 1000 })
    this.sessions = new LeasedSessions({
      clock,
      times: TIMES,
      fleet,
      events: { agentChanged: () => {}, agentLost: () => {}, configSeen: (version) => this.newer.push(version), evacuationsChanged: () => {} },
      onResult: () => {},
      onNotStarted: () => {},
      onLost: () => {},
      schedule: () => {}
    })
    for (let index = 0; index < agents; index++) this.connect(index)
  }

  /** Moves time on; agents that were sent a document hold it a moment later, or never if the link stands still. */
  run (ms: number, isLinkStill = false): void {
    for (let passed = 0; passed < ms; passed += SWEEP_MS) {
      this.sessions.sweep(this.clock.now())
      this.flush(isLinkStill)
      if (passed % KEEP_ALIVE_MS === 0) for (const [index, { link }] of this.agents.entries()) if (link !== undefined) this.hear(index, { configVersion: this.held[index]! })
      this.flush(isLinkStill)
      this.clock.advance(SWEEP_MS)
    }
  }

  hear (index: number, frame: Partial<AgentFrame>): void {
    const agent = this.agents[index]!
    this.sessions.onFrame(agent, agent.link!, create(AgentFrameSchema, { stampMs: this.clock.now(), ...frame } as AgentFrame))
  }

  /** What is asked for leaves. */
  flush (isLinkStill = false): void {
    for (const [index, frame] of this.pending) {
      this.sessions.fillFrame(this.agents[index]!, frame)
      this.sent.push({ at: this.clock.now(), bytes: toBinary(EntryFrameSchema, frame).length, frame })
      if (frame.config.length > 0 && !isLinkStill) this.held[index] = frame.configVersion
    }
    this.pending.clear()
  }

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
    this.held.push(0n)
  }
}

const documentOf = (version: bigint): Uint8Array => new Uint8Array(DOCUMENT_BYTES).fill(Number(version))

describe('what a change of the configuration costs an entry', () => {
  const changes: Array<{ name: string, agents: number, versions: bigint[], gapMs: number, isLinkStill: boolean, mostBytes: number }> = [
    { name: 'one change at 160 agents', agents: 160, versions: [1n], gapMs: 2000, isLinkStill: false, mostBytes: 20_000 },
    { name: 'one at 160 agents over a link on which nothing arrives', agents: 160, versions: [1n], gapMs: 2000, isLinkStill: true, mostBytes: 20_000 },
    { name: 'three a second for four seconds', agents: 160, versions: [1n, 2n, 3n, 4n, 5n, 6n, 7n, 8n, 9n, 10n, 11n, 12n], gapMs: 325, isLinkStill: false, mostBytes: 120_000 }
  ]
  it.each(changes)('$name', ({ agents, versions, gapMs, isLinkStill, mostBytes }) => {
    const entry = new OneEntry(agents)
    for (const version of versions) {
      entry.sessions.setConfig(version, documentOf(version))
      entry.run(gapMs, isLinkStill)
    }
    const { documents } = entry
    expect(documents.length).toBeGreaterThan(0)
    expect(documents.reduce((sum, { bytes }) => sum + bytes, 0)).toBeLessThan(mostBytes)
    for (const { at } of documents) {
      const near = documents.filter((other) => other.at >= at && other.at < at + 100)
      expect(near.reduce((sum, { bytes }) => sum + bytes, 0)).toBeLessThanOrEqual(LINK_BYTES / 5)
    }
  })

  it('the agents that keep it are replaced when they go', () => {
    const entry = new OneEntry(6)
    entry.sessions.setConfig(1n, documentOf(1n))
    entry.run(600)
    const keepers = entry.held.flatMap((version, index) => version === 1n ? [index] : [])
    expect(keepers).toHaveLength(3)
    const gone = entry.agents[keepers[0]!]!
    entry.sessions.closed(gone, gone.link!)
    entry.run(300)
    expect(entry.held.filter((version) => version === 1n)).toHaveLength(4)
  })
})

describe('a document and its version', () => {
  it('go together, whatever came into force since the frame was asked for', () => {
    const entry = new OneEntry(1)
    entry.sessions.setConfig(1n, documentOf(1n))
    entry.sessions.sweep(entry.clock.now())
    entry.sessions.setConfig(2n, documentOf(2n))
    entry.flush()
    for (const { frame } of entry.documents) expect(frame.config).toEqual(documentOf(frame.configVersion))
    expect(entry.documents.length).toBeGreaterThan(0)
  })

  it('go together in an agent\'s frame, too', () => {
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
    sessions.fillFrame('e', frame)
    expect(frame.config).toEqual(documentOf(frame.configVersion))
  })
})

describe('an entry that hears of a newer document', () => {
  const waits: Array<{ name: string, own: bigint, isDoubted?: boolean, beforeMs: number, asks: number }> = [
    { name: 'leaves the store some time', own: 1n, beforeMs: 200, asks: 0 },
    { name: 'asks one agent if the store does not bring it', own: 1n, beforeMs: 400, asks: 1 },
    { name: 'asks at once if it has none', own: 0n, beforeMs: 50, asks: 1 },
    { name: 'asks at once while the store is in doubt', own: 1n, isDoubted: true, beforeMs: 50, asks: 1 },
    { name: 'is not asked for more often by a store in doubt', own: 1n, isDoubted: true, beforeMs: 200, asks: 1 }
  ]
  it.each(waits)('$name', ({ own, isDoubted = false, beforeMs, asks }) => {
    const entry = new OneEntry(4)
    entry.sessions.setConfigUnconfirmed(isDoubted)
    if (own > 0n) entry.sessions.setConfig(own, documentOf(own))
    entry.held.fill(2n)
    entry.run(beforeMs)
    expect(entry.sent.filter(({ frame }) => frame.wantsConfig)).toHaveLength(asks)
  })

  it('asks the next agent when one does not answer, and tells of what it was given', () => {
    const entry = new OneEntry(4)
    entry.held.fill(2n)
    entry.run(700)
    expect(entry.sent.filter(({ frame }) => frame.wantsConfig).length).toBeGreaterThan(1)
    entry.hear(0, { configVersion: 2n, config: documentOf(2n) })
    expect(entry.newer).toEqual([2n])
  })
})
