import { create } from '@bufbuild/protobuf'
import { seededRandom, SuspensionWatch } from '@hazellift/common'
import { AgentFrameSchema, EntryFrameSchema, HelloSchema, LeasedStartSchema, REASONS } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { LeasedHost, RUN_ENDS } from '../../src/index.js'
import type { PollRequest, PollOutcome, StartOrder, StartOutcome } from '../../src/index.js'
import { LeasedFleet } from '../../src/leased/leasedFleet.js'
import { LeasedSessions } from '../../src/leased/leasedSessions.js'
import { createFakeClock } from '../fakeClock.js'
import { ProcessClock } from '../processClock.js'
import { CAPACITY } from './fakeEndpoint.js'
import { LEASE_TIMES } from './leasedNetwork.js'

const settle = async (): Promise<void> => { for (let i = 0; i < 4; i++) await new Promise((resolve) => setImmediate(resolve)) }

interface Pending<Order, Outcome> {
  order: Order
  answer: (outcome: Outcome) => void
}

/** An agent's host whose endpoint answers when a test says so. */
class HostFixture {
  readonly starts: Array<Pending<StartOrder, StartOutcome>> = []
  readonly holds: Array<Pending<PollRequest, PollOutcome>> = []
  readonly told: string[] = []
  private readonly world = createFakeClock()
  private readonly process = new ProcessClock(this.world)
  private readonly host = new LeasedHost({
    clock: this.process,
    zone: 'z',
    times: LEASE_TIMES,
    pollWaitMs: 100,
    log: () => {},
    observe: ({ key, reason, outcome }) => this.told.push(`${key!.submission} ${reason || outcome}`)
  })

  private readonly add = (change: (frame: AgentFrame) => void): void => change(create(AgentFrameSchema))

  async begin (...entries: string[]): Promise<void> {
    this.world.advance(1000)
    this.host.setEndpoint({
      service: 's',
      incarnation: 'i',
      address: '',
      capacity: CAPACITY,
      endpoint: {
        start: (order) => new Promise((resolve) => { this.starts.push({ order, answer: resolve }) }),
        stop: () => new Promise(() => {}),
        poll: (order) => new Promise((resolve) => { this.holds.push({ order, answer: resolve }) })
      }
    })
    await this.answerHold({ type: 'held', running: [], ended: [] })
    for (const entry of entries) this.host.openSession(entry, this.add)
  }

  async answerHold (outcome: PollOutcome): Promise<void> {
    this.holds.shift()!.answer(outcome)
    await settle()
  }

  /** A frame with a fresh echo, and a start of one task if one is named. */
  async frame (entry: string, submission?: string, cpuMilli = 1000): Promise<void> {
    const start = submission === undefined ? [] : [create(LeasedStartSchema, { submission, tasks: [{ index: 0, attempt: 0 }], need: { cpuMilli, memoryMb: 1 }, waitMs: 20, expectedMs: 100 })]
    this.host.onFrame(entry, this.add, create(EntryFrameSchema, { echoStampMs: this.process.now(), leasedStarts: start }))
    await settle()
  }

  pass (ms: number): void {
    this.world.advance(ms)
  }

  /** Nothing of the process is carried out meanwhile, nor at its end. */
  suspend (ms: number): void {
    this.process.suspend(ms)
    this.world.advance(ms)
  }

  get ordered (): string[] {
    return this.starts.map(({ order }) => order.submission)
  }
}

describe('an agent that was suspended', () => {
  it('starts nothing that waited for room meanwhile, also if room comes first', async () => {
    const fixture = new HostFixture()
    await fixture.begin('e')
    await fixture.frame('e', 'first', CAPACITY.cpuMilli)
    fixture.starts[0]!.answer({ type: 'started' })
    await settle()
    await fixture.frame('e', 'second')
    fixture.suspend(3000)
    await fixture.answerHold({ type: 'held', running: [], ended: [{ seq: 1, submission: 'first', index: 0, run: fixture.starts[0]!.order.run, how: RUN_ENDS.done }] })
    expect(fixture.ordered).toEqual(['first'])
    expect(fixture.told).toContain(`second ${REASONS.staleStart}`)
  })

  it('starts nothing for one entry while it holds on nothing for another one', async () => {
    const fixture = new HostFixture()
    await fixture.begin('a', 'b')
    await fixture.frame('a', 'first')
    await fixture.frame('b')
    fixture.suspend(300)
    await fixture.frame('b')
    fixture.pass(5)
    await fixture.frame('b', 'second')
    expect(fixture.ordered).toEqual(['first'])
    await fixture.frame('a')
    await fixture.frame('b', 'third')
    expect(fixture.ordered).toEqual(['first', 'second', 'third'])
  })

  it('orders no start again that was not answered', async () => {
    const fixture = new HostFixture()
    await fixture.begin('e')
    await fixture.frame('e', 'first')
    fixture.suspend(300)
    fixture.starts[0]!.answer({ type: 'unknown' })
    await settle()
    expect(fixture.ordered).toEqual(['first'])
  })

  it('looks without holding on until an entry has answered anew', async () => {
    const fixture = new HostFixture()
    await fixture.begin('e')
    await fixture.frame('e', 'first')
    fixture.starts[0]!.answer({ type: 'started' })
    await settle()
    fixture.pass(10)
    fixture.suspend(300)
    const run = { submission: 'first', index: 0, run: fixture.starts[0]!.order.run }
    const next = async (): Promise<PollRequest> => {
      await fixture.answerHold({ type: 'held', running: [run], ended: [] })
      fixture.pass(5)
      await settle()
      return fixture.holds[0]!.order
    }
    expect(await next()).toMatchObject({ runLeaseMs: undefined, waitMs: 25 })
    fixture.pass(1)
    await fixture.frame('e')
    expect(await next()).toMatchObject({ runLeaseMs: LEASE_TIMES.runLeaseMs, waitMs: 100 })
  })
})

/** An entry's sessions with one agent. */
class EntryFixture {
  closed = 0
  readonly process: ProcessClock
  readonly lost: string[] = []
  private readonly world = createFakeClock()
  private readonly sessions: LeasedSessions
  private readonly link = { add: () => {}, acknowledge: () => {}, close: () => { this.closed++ } }
  readonly agent: ReturnType<LeasedSessions['open']>

  constructor () {
    this.process = new ProcessClock(this.world)
    const fleet = new LeasedFleet({ clock: this.process, random: seededRandom(1), zone: 'z', maxEjectedShare: 0.4, ejectionBackoff: () => 1000 })
    this.sessions = new LeasedSessions({
      clock: this.process,
      watch: new SuspensionWatch(this.process),
      times: LEASE_TIMES,
      fleet,
      events: { agentChanged: () => {}, agentLost: () => {}, configSeen: () => {}, evacuationsChanged: () => {} },
      onResult: () => {},
      onNotStarted: () => {},
      onLost: (_agent, _sent, reason) => this.lost.push(reason),
      schedule: () => {}
    })
    this.world.advance(1000)
    this.agent = this.sessions.open(create(HelloSchema, { agentId: 'a', incarnation: 'i', zone: 'z' }), this.link)
    this.hear()
    this.agent.sent.set('task', { job: undefined as never, index: 0, attempt: 0, sentAt: 1000, endpointIncarnation: '' })
  }

  hear (): void {
    this.sessions.onFrame(this.agent, this.link, create(AgentFrameSchema, { stampMs: 700 + this.world.now() }))
  }

  /** What a frame that leaves now echoes. */
  get echo (): number {
    const frame: EntryFrame = create(EntryFrameSchema)
    this.sessions.fillFrame(this.agent, frame)
    return frame.echoStampMs
  }

  sweep (): void {
    this.sessions.sweep(this.process.now())
  }

  pass (ms: number): void {
    this.world.advance(ms)
  }
}

describe('an entry that stood still', () => {
  const cases: Array<{ name: string, act: (fixture: EntryFixture) => void, echoes: boolean, closed: number, lost: number }> = [
    { name: 'not at all', act: (fixture) => fixture.hear(), echoes: true, closed: 0, lost: 0 },
    {
      name: 'suspended, and a frame is about to leave',
      act: ({ process }) => process.suspend(300),
      echoes: false,
      closed: 1,
      lost: 0
    },
    {
      name: 'suspended, and reads a frame',
      act: (fixture) => {
        fixture.process.suspend(300)
        fixture.pass(300)
        fixture.hear()
      },
      echoes: false,
      closed: 1,
      lost: 0
    },
    {
      name: 'suspended, and looks at the time',
      act: (fixture) => {
        fixture.process.suspend(30_000)
        fixture.pass(30_000)
        fixture.sweep()
      },
      echoes: false,
      closed: 1,
      lost: 0
    },
    {
      name: 'frozen for longer than the bound, and reads a frame',
      act: (fixture) => {
        fixture.pass(1200)
        fixture.hear()
      },
      echoes: false,
      closed: 1,
      lost: 1
    },
    {
      name: 'frozen for less than the bound, and reads a frame',
      act: (fixture) => {
        fixture.pass(1100)
        fixture.hear()
      },
      echoes: true,
      closed: 0,
      lost: 0
    }
  ]
  it.each(cases)('$name', ({ act, echoes, closed, lost }) => {
    const fixture = new EntryFixture()
    expect(fixture.echo).toBeGreaterThan(0)
    act(fixture)
    fixture.pass(300)
    expect(fixture.echo > 0).toBe(echoes)
    expect(fixture.closed).toBe(closed)
    expect(fixture.lost).toHaveLength(lost)
  })
})
