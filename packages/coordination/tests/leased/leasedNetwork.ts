import { create } from '@bufbuild/protobuf'
import { seededRandom } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import { AgentFrameSchema, EntryFrameSchema, HelloSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame, TaskResult } from '@hazellift/protocol'
import { LeasedDispatcher, LeasedHost, LeasedJobs } from '../../src/index.js'
import type { AgentLink, LeasedDispatchEvents, LeasedJobEnd, LeasedJobSpec, LeaseTimes } from '../../src/index.js'
import { createFakeClock } from '../fakeClock.js'
import type { FakeClock } from '../fakeClock.js'
import { ProcessClock } from '../processClock.js'
import type { BootClock } from '../processClock.js'
import { CAPACITY, FakeEndpoint } from './fakeEndpoint.js'
import type { CrashMode } from './fakeEndpoint.js'

export const LEASE_TIMES: LeaseTimes = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
const KEEP_ALIVE_MS = 150
const ENTRY_KEEP_ALIVE_MS = 200
const SESSION_TIMEOUT_MS = 500
const REDIAL_MS = 50
const STEP_MS = 5
const TASK_CPU = 1600
/** Of entries, and of agents unless a test says otherwise. */
const ZONE = 'z'

/** Settles what is ready without moving the clock. */
const settle = async (): Promise<void> => { for (let i = 0; i < 4; i++) await new Promise((resolve) => setImmediate(resolve)) }

interface Pair {
  agent: number
  entry: number
  /** The link is silent: frames and ends of connections are held up. */
  isCut: boolean
  close: (() => void) | undefined
  lastSeenAt: number
}

interface Entry {
  incarnation: string
  process: ProcessClock
  dispatcher: LeasedDispatcher
  jobs: LeasedJobs
  isUp: boolean
}

interface Agent {
  incarnation: string
  process: ProcessClock
  host: LeasedHost
  endpoint: FakeEndpoint
  incarnationNumber: number
  isUp: boolean
}

const EVENTS: LeasedDispatchEvents = {
  ended: () => {}, sent: () => {}, moved: () => {}, requeued: () => {}, suspected: () => {}, result: () => {}, agentChanged: () => {}, agentLost: () => {}, configSeen: () => {}, evacuationsChanged: () => {}
}

/** Entries and agents in one process on a fake clock, with links that can be cut. */
export class LeasedNetwork {
  readonly clock: FakeClock = createFakeClock()
  readonly entries: Entry[] = []
  readonly agents: Agent[] = []
  readonly jobEnds = new Map<string, LeasedJobEnd>()
  readonly endpoints: FakeEndpoint[] = []
  /** Documents that entries heard of from agents. */
  readonly configDocuments: Array<{ entry: number, text: string }> = []
  /** What began, and what crashes ended, in order; once tasks can be poisonous. */
  readonly runEvents: Array<{ what: 'start' | 'crash', name: string, at: number }> = []
  /** Told of what entries notice of agents. */
  onAgentChanged: LeasedDispatchEvents['agentChanged'] = () => {}
  /** Frames that entries sent. */
  entryFrameCount = 0
  private readonly pairs: Pair[] = []
  private incarnationCount = 0

  /** Starts that ended, by outcome and reason. */
  readonly endedStartCounts = new Map<string, number>()

  constructor (entryCount: number, agentCount: number, private readonly times = LEASE_TIMES, private readonly capacity = CAPACITY, private readonly zoneOf: (agent: number) => string = () => ZONE, private readonly bootClock: BootClock = 'none') {
    for (let entry = 0; entry < entryCount; entry++) this.entries.push(this.newEntry(entry))
    for (let agent = 0; agent < agentCount; agent++) {
      this.agents.push(this.newAgent(new FakeEndpoint(this.clock, () => TASK_CPU), agent))
      for (let entry = 0; entry < entryCount; entry++) this.pairs.push({ agent, entry, isCut: false, close: undefined, lastSeenAt: 0 })
    }
  }

  /** Moves time on, with everything that happens meanwhile. */
  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      for (const endpoint of this.endpoints) endpoint.tick()
      for (const pair of this.pairs) this.connect(pair)
      for (const { dispatcher, process, isUp } of this.entries) if (isUp && !process.isPaused) dispatcher.sweep()
      this.clock.advance(STEP_MS)
      await settle()
    }
  }

  /** Submits a job of equal tasks at an entry. */
  submit (entry: number, id: string, count: number, more: Partial<LeasedJobSpec> = {}): { leave: () => void } {
    const { jobs } = this.entries[entry]!
    const attachment = jobs.submit({
      workspace: 'w',
      id,
      requestId: '',
      service: 's',
      payload: 'p',
      count,
      need: { cpuMilli: TASK_CPU, memoryMb: 64 },
      estimateMs: 100,
      kind: 'k',
      priority: 0,
      attempts: 2,
      objective: { stretch: 20, slackMs: 2000, lateFactor: 3 },
      deadlineMs: 10_000,
      ...more
    })
    void attachment.end.then((end) => this.jobEnds.set(id, end))
    return attachment
  }

  /** Cuts or heals the link of an agent and an entry. */
  cut (agent: number, entry: number, isCut: boolean): void {
    for (const pair of this.pairs) if (pair.agent === agent && pair.entry === entry) pair.isCut = isCut
  }

  /** The agent's process dies; another one begins at once if `restarts`. */
  killAgent (index: number, restarts = true): void {
    const agent = this.agents[index]!
    for (const pair of this.pairs) if (pair.agent === index) this.drop(pair)
    // What a dead process would still do must not happen: its endpoint calls go nowhere.
    agent.endpoint = this.detach(agent)
    agent.isUp = false
    if (restarts) this.agents[index] = this.newAgent(agent.endpoint, index)
  }

  /** The endpoint of an agent crashes, and its next life is announced at once; it knows nothing of before. */
  restartEndpoint (index: number): void {
    this.agents[index]!.endpoint.crash()
    this.beginIncarnation(index)
  }

  /** The endpoint of an agent crashes, and is back after some time. */
  crashEndpoint (index: number, backMs: number): void {
    this.agents[index]!.endpoint.crash()
    this.clock.after(backMs, () => this.beginIncarnation(index))
  }

  /** From now on tasks of these submissions crash the endpoints that start them; these are back after some time. */
  setCrashPlan (crashAfterMs: (submission: string) => number | undefined, down: CrashMode, backMs: number): void {
    for (const [index, { endpoint }] of this.agents.entries()) {
      endpoint.poison = { crashAfterMs, down, onCrash: () => { this.clock.after(backMs, () => this.beginIncarnation(index)) } }
      endpoint.onRun = (what, name) => { this.runEvents.push({ what, name, at: this.clock.now() }) }
    }
  }

  private beginIncarnation (index: number): void {
    const agent = this.agents[index]!
    const { runMs, poison, onRun } = agent.endpoint
    agent.endpoint = Object.assign(new FakeEndpoint(this.clock, () => TASK_CPU), { runMs, poison, onRun })
    this.endpoints.push(agent.endpoint)
    this.announce(agent)
  }

  /** The endpoint of an agent has another capacity from now on, and its agent hears of it at once. */
  setCapacity (index: number, capacity: Resources): void {
    const { host, endpoint } = this.agents[index]!
    endpoint.announcedCpuMilli = capacity.cpuMilli
    host.setCapacity(capacity)
  }

  /** The entry's process dies; another one begins. */
  killEntry (index: number): void {
    for (const pair of this.pairs) if (pair.entry === index) this.drop(pair)
    this.entries[index]!.isUp = false
    this.entries[index] = this.newEntry(index)
  }

  private detach (agent: Agent): FakeEndpoint {
    const { host, endpoint } = agent
    host.removeEndpoint('endpoint_gone')
    return endpoint
  }

  private newEntry (index: number): Entry {
    const process = this.entries[index]?.process ?? new ProcessClock(this.clock, this.bootClock)
    const dispatcher = new LeasedDispatcher({
      clock: process,
      random: seededRandom(index),
      zone: ZONE,
      times: this.times,
      events: { ...EVENTS, agentChanged: (agent, change) => this.onAgentChanged(agent, change), configSeen: (_version, document) => this.configDocuments.push({ entry: index, text: Buffer.from(document).toString() }) },
      maxEjectedShare: 0.4,
      ejectionBackoff: () => 1000,
      defer: (fn) => { setImmediate(() => process.run(fn)) }
    })
    return { incarnation: `e${index}-${this.incarnationCount++}`, process, dispatcher, jobs: new LeasedJobs(process, dispatcher), isUp: true }
  }

  private newAgent (endpoint: FakeEndpoint, index: number): Agent {
    if (!this.endpoints.includes(endpoint)) this.endpoints.push(endpoint)
    const process = this.agents[index]?.process ?? new ProcessClock(this.clock, this.bootClock)
    const host = new LeasedHost({
      clock: process, zone: this.zoneOf(index), times: this.times, pollWaitMs: 100, log: () => {}, observe: (result) => this.count(result)
    })
    const life = this.incarnationCount++
    const agent = { incarnation: `a${life}`, process, host, endpoint, life, isUp: true }
    this.announce(agent)
    return agent
  }

  private announce (agent: Agent): void {
    const { host, process, endpoint } = agent
    host.setEndpoint({
      service: 's',
      incarnation: `i${this.endpoints.indexOf(endpoint)}`,
      address: '',
      capacity: Number.isFinite(endpoint.announcedCpuMilli) ? { ...this.capacity, cpuMilli: endpoint.announcedCpuMilli } : this.capacity,
      // A process that died orders nothing any more.
      endpoint: {
        start: (order) => agent.isUp ? process.receive(endpoint.start(order)) : new Promise(() => {}),
        stop: (run) => agent.isUp ? process.receive(endpoint.stop(run)) : new Promise(() => {}),
        poll: (order) => agent.isUp ? process.receive(endpoint.poll(order)) : new Promise(() => {})
      }
    })
  }

  private count ({ outcome, reason }: TaskResult): void {
    const name = reason || outcome
    this.endedStartCounts.set(name, (this.endedStartCounts.get(name) ?? 0) + 1)
  }

  private drop (pair: Pair): void {
    pair.close?.()
    pair.close = undefined
  }

  private connect (pair: Pair): void {
    if (pair.close !== undefined || pair.isCut) return
    const agent = this.agents[pair.agent]!
    const entry = this.entries[pair.entry]!
    if (!agent.isUp || agent.process.isPaused || entry.process.isPaused) return
    const isOpen = { agent: true, entry: true }
    let acked = 0n
    const agentNow = (): number => agent.process.now()
    const entryNow = (): number => entry.process.now()
    const lastSeen = { agent: agentNow(), entry: entryNow() }
    let sentToAgentAt = entryNow()
    const held: Array<() => void> = []
    const deliver = (process: ProcessClock, fn: () => void): void => {
      if (pair.isCut) held.push(() => process.run(fn))
      else setImmediate(() => process.run(fn))
    }
    const toEntry = (change: (frame: AgentFrame) => void): void => {
      if (!isOpen.agent) return
      const frame = create(AgentFrameSchema)
      change(frame)
      agent.host.fillFrame(entry.incarnation, frame)
      deliver(entry.process, () => {
        if (!isOpen.entry || !entry.isUp) return
        lastSeen.entry = entryNow()
        entry.dispatcher.sessions.onFrame(handle, link, frame)
      })
    }
    const toAgent = (change: (frame: EntryFrame) => void): void => {
      if (!isOpen.entry) return
      const frame = create(EntryFrameSchema)
      change(frame)
      frame.ackedSeq = acked
      sentToAgentAt = entryNow()
      this.entryFrameCount++
      entry.dispatcher.sessions.fillFrame(handle, frame)
      deliver(agent.process, () => {
        if (!isOpen.agent || !agent.isUp) return
        lastSeen.agent = agentNow()
        agent.host.onFrame(entry.incarnation, toEntry, frame)
      })
    }
    const link: AgentLink = { add: toAgent, acknowledge: (seq) => { acked = seq }, close: () => { closeEntry() } }
    const closeAgent = (): void => {
      if (!isOpen.agent) return
      isOpen.agent = false
      agent.host.closeSession(entry.incarnation, toEntry)
    }
    const closeEntry = (): void => {
      if (!isOpen.entry) return
      isOpen.entry = false
      entry.dispatcher.sessions.closed(handle, link)
    }
    const handle = entry.dispatcher.sessions.open(create(HelloSchema, { agentId: `a${pair.agent}`, incarnation: agent.incarnation, zone: this.zoneOf(pair.agent) }), link)
    agent.host.openSession(entry.incarnation, toEntry)
    const close = (): void => {
      agent.process.run(closeAgent)
      entry.process.run(closeEntry)
    }
    const redial = (): void => {
      // One that was dropped has been replaced already.
      this.clock.after(REDIAL_MS, () => { if (pair.close === close) pair.close = undefined })
    }
    const keepAlive = (): void => {
      if (!isOpen.agent && !isOpen.entry) return redial()
      if (!pair.isCut) for (const fn of held.splice(0)) fn()
      const isAgentAwake = !agent.process.isPaused
      const isEntryAwake = !entry.process.isPaused
      if (isAgentAwake && agentNow() - lastSeen.agent > SESSION_TIMEOUT_MS) closeAgent()
      if (isEntryAwake && entryNow() - lastSeen.entry > SESSION_TIMEOUT_MS) closeEntry()
      if (!isOpen.agent && !pair.isCut && isEntryAwake) closeEntry()
      if (!isOpen.entry && !pair.isCut && isAgentAwake) closeAgent()
      if (!isOpen.agent && !isOpen.entry) return redial()
      if (isAgentAwake) toEntry(() => {})
      this.clock.after(KEEP_ALIVE_MS, keepAlive)
    }
    const keepEntryAlive = (): void => {
      if (!isOpen.entry) return
      const dueMs = sentToAgentAt + ENTRY_KEEP_ALIVE_MS - entryNow()
      if (dueMs <= 0) toAgent(() => {})
      entry.process.after(dueMs <= 0 ? ENTRY_KEEP_ALIVE_MS : dueMs, keepEntryAlive)
    }
    entry.process.after(ENTRY_KEEP_ALIVE_MS, keepEntryAlive)
    pair.close = close
    keepAlive()
  }
}
