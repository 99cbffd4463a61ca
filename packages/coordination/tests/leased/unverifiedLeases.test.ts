import { flushPromises } from './advanceTime.js'
import { create } from '@bufbuild/protobuf'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { seededRandom, SuspensionWatch } from '@hazellift/common'
import { AgentFrameSchema, EntryFrameSchema, HelloSchema, LeasedStartSchema, REASONS, ResumeSchema } from '@hazellift/protocol'
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

/** A call that a test has not answered yet. */
interface PendingCall<Order, Outcome> {
  order: Order
  answer: (outcome: Outcome) => void
}

/** An agent's host whose endpoint answers each call only when the test answers it, and never answers stops. */
class HostFixture {
  readonly starts: Array<PendingCall<StartOrder, StartOutcome>> = []
  readonly polls: Array<PendingCall<PollRequest, PollOutcome>> = []
  /** Tasks with the reason or outcome that was reported of them. */
  readonly results: string[] = []
  private readonly referenceClock = createFakeClock()
  private readonly process = new ProcessClock(this.referenceClock)
  private readonly host = new LeasedHost({
    clock: this.process,
    zone: 'z',
    times: LEASE_TIMES,
    pollWaitMs: 100,
    log: () => {},
    observe: ({ key, reason, outcome }) => this.results.push(`${key!.submission} ${reason || outcome}`)
  })

  private readonly add = (change: (frame: AgentFrame) => void): void => change(create(AgentFrameSchema))

  /** Announces the endpoint, and opens sessions with these entries. */
  async connect (...entries: string[]): Promise<void> {
    this.referenceClock.advance(1000)
    this.host.setEndpoint({
      service: 's',
      incarnation: 'i',
      address: '',
      capacity: CAPACITY,
      endpoint: {
        start: (order) => new Promise((resolve) => { this.starts.push({ order, answer: resolve }) }),
        stop: () => new Promise(() => {}),
        poll: (order) => new Promise((resolve) => { this.polls.push({ order, answer: resolve }) })
      }
    })
    await this.answerPoll({ type: 'listed', running: [], ended: [] })
    for (const entry of entries) this.host.openSession(entry, this.add)
  }

  async answerPoll (outcome: PollOutcome): Promise<void> {
    this.polls.shift()!.answer(outcome)
    await flushPromises()
  }

  /** Receives a frame of an entry with an echo of the current time, and a start of one task if a submission is given. */
  async receiveFrame (entry: string, submission?: string, cpuMilli = 1000): Promise<void> {
    const starts = submission === undefined ? [] : [create(LeasedStartSchema, { submission, tasks: [{ index: 0, attempt: 0 }], need: { cpuMilli, memoryMb: 1 }, waitMs: 20, expectedMs: 100 })]
    this.host.onFrame(entry, this.add, create(EntryFrameSchema, { echoStampMs: this.process.now(), leasedStarts: starts }))
    await flushPromises()
  }

  pass (ms: number): void {
    this.referenceClock.advance(ms)
  }

  /** Suspends the process and advances time to the end of the suspension; none of its timers runs. */
  suspend (ms: number): void {
    this.process.suspend(ms)
    this.referenceClock.advance(ms)
  }

  /** Submissions whose starts were ordered at the endpoint. */
  get ordered (): string[] {
    return this.starts.map(({ order }) => order.submission)
  }
}

describe('an agent that was suspended', () => {
  it('refuses a start that waited for free capacity, though capacity becomes free before it reads a frame', async () => {
    const fixture = new HostFixture()
    await fixture.connect('e')
    await fixture.receiveFrame('e', 'first', CAPACITY.cpuMilli)
    fixture.starts[0]!.answer({ type: 'started' })
    await flushPromises()
    await fixture.receiveFrame('e', 'second')
    fixture.suspend(3000)
    await fixture.answerPoll({ type: 'listed', running: [], ended: [{ seq: 1, submission: 'first', index: 0, run: fixture.starts[0]!.order.run, how: RUN_ENDS.done }] })
    expect(fixture.ordered).toEqual(['first'])
    expect(fixture.results).toContain(`second ${REASONS.staleStart}`)
  })

  it('starts no task of an entry while the lease of another entry with running tasks is unverified', async () => {
    const fixture = new HostFixture()
    await fixture.connect('a', 'b')
    await fixture.receiveFrame('a', 'first')
    await fixture.receiveFrame('b')
    fixture.suspend(300)
    await fixture.receiveFrame('b')
    fixture.pass(5)
    await fixture.receiveFrame('b', 'second')
    expect(fixture.ordered).toEqual(['first'])
    await fixture.receiveFrame('a')
    await fixture.receiveFrame('b', 'third')
    expect(fixture.ordered).toEqual(['first', 'second', 'third'])
  })

  it('does not repeat an unanswered start', async () => {
    const fixture = new HostFixture()
    await fixture.connect('e')
    await fixture.receiveFrame('e', 'first')
    fixture.suspend(300)
    fixture.starts[0]!.answer({ type: 'unknown' })
    await flushPromises()
    expect(fixture.ordered).toEqual(['first'])
  })

  it('polls without renewing the run lease until the entry echoes a new timestamp', async () => {
    const fixture = new HostFixture()
    await fixture.connect('e')
    await fixture.receiveFrame('e', 'first')
    fixture.starts[0]!.answer({ type: 'started' })
    await flushPromises()
    fixture.pass(10)
    fixture.suspend(300)
    const run = { submission: 'first', index: 0, run: fixture.starts[0]!.order.run }
    const nextPoll = async (): Promise<PollRequest> => {
      await fixture.answerPoll({ type: 'listed', running: [run], ended: [] })
      fixture.pass(5)
      await flushPromises()
      return fixture.polls[0]!.order
    }
    expect(await nextPoll()).toMatchObject({ runLeaseMs: undefined, waitMs: 25 })
    fixture.pass(1)
    await fixture.receiveFrame('e')
    expect(await nextPoll()).toMatchObject({ runLeaseMs: LEASE_TIMES.runLeaseMs, waitMs: 100 })
  })
})

/** An entry's session with one agent, to which one task was sent. The agent's clock is 700 ms ahead. */
class EntryFixture {
  /** How often the entry has closed its session. */
  closeCount = 0
  readonly process: ProcessClock
  /** Reasons with which tasks were reported as lost. */
  readonly lossReasons: string[] = []
  private readonly referenceClock = createFakeClock()
  private readonly sessions: LeasedSessions
  private readonly link = { add: () => {}, acknowledge: () => {}, close: () => { this.closeCount++ } }
  readonly agent: ReturnType<LeasedSessions['open']>

  constructor () {
    this.process = new ProcessClock(this.referenceClock)
    const fleet = new LeasedFleet({ clock: this.process, random: seededRandom(1), zone: 'z', maxEjectedShare: 0.4, ejectionBackoff: () => 1000 })
    this.sessions = new LeasedSessions({
      clock: this.process,
      watch: new SuspensionWatch(this.process),
      times: LEASE_TIMES,
      fleet,
      events: { agentChanged: () => {}, agentLost: () => {}, resumed: () => {}, configSeen: () => {}, evacuationsChanged: () => {} },
      onResult: () => {},
      onNotStarted: () => {},
      onLost: (_agent, _sent, reason) => this.lossReasons.push(reason),
      schedule: () => {}
    })
    this.referenceClock.advance(1000)
    this.agent = this.sessions.open(create(HelloSchema, { agentId: 'a', incarnation: 'i', zone: 'z' }), this.link)
    // An agent lists its tasks in the first frame of a session; before that nothing is echoed.
    this.receiveFrame({ resume: create(ResumeSchema) })
    this.agent.sent.set('task', { job: undefined as never, index: 0, attempt: 0, sentAt: 1000, endpointIncarnation: '', endpointAddress: '' })
  }

  /** Receives a frame of the agent. */
  receiveFrame (content: MessageInitShape<typeof AgentFrameSchema> = {}): void {
    this.sessions.onFrame(this.agent, this.link, create(AgentFrameSchema, { stampMs: 700 + this.referenceClock.now(), ...content }))
  }

  /** The timestamp that a frame sent now echoes; 0 if none. */
  get echo (): number {
    const frame: EntryFrame = create(EntryFrameSchema)
    this.sessions.fillFrame(this.agent, frame)
    return frame.echoStampMs
  }

  sweep (): void {
    this.sessions.sweep(this.process.now())
  }

  pass (ms: number): void {
    this.referenceClock.advance(ms)
  }
}

describe('an entry whose process was paused', () => {
  const cases: Array<{ name: string, act: (fixture: EntryFixture) => void, echoes: boolean, closeCount: number, lostCount: number }> = [
    { name: 'no pause', act: (fixture) => fixture.receiveFrame(), echoes: true, closeCount: 0, lostCount: 0 },
    {
      name: 'suspended, then sends a frame',
      act: ({ process }) => process.suspend(300),
      echoes: false,
      closeCount: 1,
      lostCount: 0
    },
    {
      name: 'suspended, then reads a frame',
      act: (fixture) => {
        fixture.process.suspend(300)
        fixture.pass(300)
        fixture.receiveFrame()
      },
      echoes: false,
      closeCount: 1,
      lostCount: 0
    },
    {
      name: 'suspended, then sweeps',
      act: (fixture) => {
        fixture.process.suspend(30_000)
        fixture.pass(30_000)
        fixture.sweep()
      },
      echoes: false,
      closeCount: 1,
      lostCount: 0
    },
    {
      name: 'frozen beyond the termination bound',
      act: (fixture) => {
        fixture.pass(1200)
        fixture.receiveFrame()
      },
      echoes: false,
      closeCount: 1,
      lostCount: 1
    },
    {
      name: 'frozen within the termination bound',
      act: (fixture) => {
        fixture.pass(1100)
        fixture.receiveFrame()
      },
      echoes: true,
      closeCount: 0,
      lostCount: 0
    }
  ]
  it.each(cases)('$name: frames sent afterwards echo a timestamp: $echoes', ({ act, echoes, closeCount, lostCount }) => {
    const fixture = new EntryFixture()
    expect(fixture.echo).toBeGreaterThan(0)
    act(fixture)
    fixture.pass(300)
    expect(fixture.echo > 0).toBe(echoes)
    expect(fixture.closeCount).toBe(closeCount)
    expect(fixture.lossReasons).toHaveLength(lostCount)
  })
})
