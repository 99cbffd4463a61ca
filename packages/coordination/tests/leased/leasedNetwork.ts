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
import { flushPromises } from './advanceTime.js'
import type { BootClock } from '../processClock.js'
import { CAPACITY, FakeEndpoint } from './fakeEndpoint.js'
import type { CrashMode } from './fakeEndpoint.js'

/** Lease times of the entries and agents, unless a test sets others. */
export const LEASE_TIMES: LeaseTimes = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
/** Interval of the agents' frames. */
const KEEP_ALIVE_MS = 150
/** An entry sends a frame once it has sent none for this long. */
const ENTRY_KEEP_ALIVE_MS = 200
const SESSION_TIMEOUT_MS = 500
const REDIAL_MS = 50
const STEP_MS = 5
const TASK_CPU_MILLI = 1600
/** Zone of the entries, and of the agents unless a test sets others. */
const ZONE = 'z'

/** An agent and an entry, with the link between them. */
interface Pair {
  agent: number
  entry: number
  /** Frames and the closing of connections are delayed until the link is restored. */
  isCut: boolean
  /** The connection takes no more frames of the entry: they stay in its outbox. */
  isBlocked?: boolean
  /** Closes the connection; unset while there is none. */
  close: (() => void) | undefined
  lastSeenAt: number
}

/** The process of an entry. */
interface Entry {
  incarnation: string
  process: ProcessClock
  dispatcher: LeasedDispatcher
  jobs: LeasedJobs
  isUp: boolean
}

/** The process of an agent, with the endpoint beside it. */
interface Agent {
  incarnation: string
  process: ProcessClock
  host: LeasedHost
  endpoint: FakeEndpoint
  incarnationNumber: number
  isUp: boolean
}

const NO_EVENTS: LeasedDispatchEvents = {
  ended: () => {}, sent: () => {}, revoked: () => {}, resumed: () => {}, moved: () => {}, requeued: () => {}, suspected: () => {}, result: () => {}, agentChanged: () => {}, agentLost: () => {}, configSeen: () => {}, evacuationsChanged: () => {}
}

/**
 * Entries and agents for ephemeral jobs on one fake clock. In contrast to a deployment
 * they share one event loop, and pass frames as objects over links that can be cut; a
 * process that dies is replaced by a new dispatcher or host.
 */
export class LeasedNetwork {
  readonly clock: FakeClock = createFakeClock()
  readonly entries: Entry[] = []
  readonly agents: Agent[] = []
  /** How jobs ended, by id. */
  readonly jobEnds = new Map<string, LeasedJobEnd>()
  /** All incarnations of all endpoints, in the order of their start. */
  readonly endpoints: FakeEndpoint[] = []
  /** Configuration documents that entries received from agents. */
  readonly configDocuments: Array<{ entry: number, text: string }> = []
  /** Runs that started, and runs that a crash ended, in order; recorded after `setCrashPlan`. */
  readonly runEvents: Array<{ type: 'start' | 'crash', task: string, at: number }> = []
  /** Called when an entry notices a change of an agent. */
  onAgentChanged: LeasedDispatchEvents['agentChanged'] = () => {}
  /** Number of runs that entries stopped for taking far too long. */
  movedRunCount = 0
  /** Called just before an entry asks an agent to end such a run. */
  onMoved: () => void = () => {}
  /** Changes to frames are merged as an outbox merges them: those that are ready in the same turn go into one frame. */
  mergesFrames = false
  /** Called when an entry has put a start into a frame. */
  onSent: () => void = () => {}
  /** Called when a start has ended at an agent, just before the agent reports its result. */
  onEndedStart: () => void = () => {}
  /** Number of frames that entries sent. */
  entryFrameCount = 0
  private readonly pairs: Pair[] = []
  private incarnationCount = 0

  /** Number of starts that ended, by reason, or by outcome where there is no reason. */
  readonly endedStartCounts = new Map<string, number>()

  constructor (entryCount: number, agentCount: number, private readonly times = LEASE_TIMES, private readonly capacity = CAPACITY, private readonly zoneOf: (agent: number) => string = () => ZONE, private readonly bootClock: BootClock = 'unavailable') {
    for (let entry = 0; entry < entryCount; entry++) this.entries.push(this.newEntry(entry))
    for (let agent = 0; agent < agentCount; agent++) {
      this.agents.push(this.newAgent(new FakeEndpoint(this.clock, () => TASK_CPU_MILLI), agent))
      for (let entry = 0; entry < entryCount; entry++) this.pairs.push({ agent, entry, isCut: false, close: undefined, lastSeenAt: 0 })
    }
  }

  /** Advances time in steps, and runs everything that falls due. */
  async advance (ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      for (const endpoint of this.endpoints) endpoint.tick()
      for (const pair of this.pairs) this.connect(pair)
      for (const { dispatcher, process, isUp } of this.entries) if (isUp && !process.isPaused) dispatcher.sweep()
      this.clock.advance(STEP_MS)
      await flushPromises()
    }
  }

  /** Submits a job of equal tasks to an entry. */
  submit (entry: number, id: string, count: number, overrides: Partial<LeasedJobSpec> = {}): { leave: () => void } {
    const { jobs } = this.entries[entry]!
    const attachment = jobs.submit({
      workspace: 'w',
      id,
      requestId: '',
      service: 's',
      payload: 'p',
      count,
      need: { cpuMilli: TASK_CPU_MILLI, memoryMb: 64 },
      estimateMs: 100,
      kind: 'k',
      priority: 0,
      attempts: 2,
      objective: { stretch: 20, slackMs: 2000, lateFactor: 3 },
      deadlineMs: 10_000,
      ...overrides
    })
    void attachment.end.then((end) => this.jobEnds.set(id, end))
    return attachment
  }

  /** Cuts or restores the link between an agent and an entry. */
  cut (agent: number, entry: number, isCut: boolean): void {
    for (const pair of this.pairs) if (pair.agent === agent && pair.entry === entry) pair.isCut = isCut
  }

  /** Resets the connections of all agents to an entry; they dial again at once. */
  resetConnections (entry: number): void {
    for (const pair of this.pairs) if (pair.entry === entry) this.drop(pair)
  }

  /** Blocks the frames of an entry to an agent in its outbox, or lets them go. */
  block (agent: number, entry: number, isBlocked: boolean): void {
    for (const pair of this.pairs) if (pair.agent === agent && pair.entry === entry) pair.isBlocked = isBlocked
  }

  /** Resets the connection of one agent to an entry. */
  dropOne (agent: number, entry: number): void {
    for (const pair of this.pairs) if (pair.agent === agent && pair.entry === entry) this.drop(pair)
  }

  /** Makes the connection of an agent to an entry silent; after `replacedAfterMs` the agent has replaced it. */
  async silence (agent: number, entry: number, replacedAfterMs: number): Promise<void> {
    this.cut(agent, entry, true)
    await this.advance(replacedAfterMs)
    for (const pair of this.pairs) if (pair.agent === agent && pair.entry === entry) this.drop(pair)
    this.cut(agent, entry, false)
  }

  /** Ends the process of an agent; another one starts at once if `restarts`. */
  killAgent (index: number, restarts = true): void {
    const agent = this.agents[index]!
    for (const pair of this.pairs) if (pair.agent === index) this.drop(pair)
    // A dead process must not order anything more: its host loses the endpoint, and its calls never return.
    agent.endpoint = this.detach(agent)
    agent.isUp = false
    if (restarts) this.agents[index] = this.newAgent(agent.endpoint, index)
  }

  /** Ends the process of an agent. Its endpoint goes on with what runs; the next process, which starts at once, has another endpoint. */
  replaceAgentAndEndpoint (index: number, address: string): void {
    const { runMs, crashPlan } = this.agents[index]!.endpoint
    this.killAgent(index, false)
    const endpoint = Object.assign(new FakeEndpoint(this.clock, () => TASK_CPU_MILLI), { runMs, crashPlan, address })
    this.agents[index] = this.newAgent(endpoint, index)
  }

  /** Crashes the endpoint of an agent; the next incarnation is announced at once and knows nothing of the earlier one. */
  restartEndpoint (index: number): void {
    this.agents[index]!.endpoint.crash()
    this.beginIncarnation(index)
  }

  /** Crashes the endpoint of an agent; the next incarnation is announced after `restartAfterMs`. */
  crashEndpoint (index: number, restartAfterMs: number): void {
    const { endpoint } = this.agents[index]!
    endpoint.crash()
    // If a task had crashed it before, its restart is due earlier, and must not be followed by another one while tasks run.
    this.clock.after(restartAfterMs, () => { if (this.agents[index]!.endpoint === endpoint) this.beginIncarnation(index) })
  }

  /**
   * The endpoint of an agent announces that it ends, and does so later; till then its tasks
   * are at work. The next incarnation is announced at once, perhaps beside it, or after the end.
   *
   * @param endsAfterMs - time from the announcement to the end
   * @param hasSuccessor - the next incarnation is announced before the end
   */
  leaveEndpoint (index: number, endsAfterMs: number, hasSuccessor: boolean): void {
    const { host, endpoint } = this.agents[index]!
    host.retireEndpoint('endpoint_gone')
    if (hasSuccessor) this.beginIncarnation(index)
    this.clock.after(endsAfterMs, () => {
      endpoint.crash()
      if (!hasSuccessor) this.beginIncarnation(index)
    })
  }

  /** From now on tasks crash the endpoints that start them, as `crashAfterMs` says, or before they answer the start; each endpoint restarts after `restartAfterMs`. */
  setCrashPlan (crashAfterMs: (submission: string) => number | undefined, mode: CrashMode, restartAfterMs: number, isBeforeAnswer = false): void {
    for (const [index, { endpoint }] of this.agents.entries()) {
      endpoint.crashPlan = { crashAfterMs, mode, isBeforeAnswer, onCrash: () => { this.clock.after(restartAfterMs, () => this.beginIncarnation(index)) } }
      endpoint.onRunEvent = (type, task) => { this.runEvents.push({ type, task, at: this.clock.now() }) }
    }
  }

  private beginIncarnation (index: number): void {
    const agent = this.agents[index]!
    const { runMs, crashPlan, onRunEvent } = agent.endpoint
    agent.endpoint = Object.assign(new FakeEndpoint(this.clock, () => TASK_CPU_MILLI), { runMs, crashPlan, onRunEvent })
    this.endpoints.push(agent.endpoint)
    this.announce(agent)
  }

  /** Changes the capacity of an agent's endpoint and notifies the agent at once. */
  setCapacity (index: number, capacity: Resources): void {
    const { host, endpoint } = this.agents[index]!
    endpoint.announcedCpuMilli = capacity.cpuMilli
    host.setCapacity(capacity)
  }

  /** Ends the process of an entry; another one starts at once. */
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
      events: { ...NO_EVENTS, sent: () => this.onSent(), agentChanged: (agent, change) => this.onAgentChanged(agent, change), moved: () => this.countMovedRun(), configSeen: (_version, document) => this.configDocuments.push({ entry: index, text: Buffer.from(document).toString() }) },
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
      clock: process, zone: this.zoneOf(index), times: this.times, pollWaitMs: 100, log: () => {}, observe: (result) => this.countEndedStart(result)
    })
    const incarnationNumber = this.incarnationCount++
    const agent = { incarnation: `a${incarnationNumber}`, process, host, endpoint, incarnationNumber, isUp: true }
    this.announce(agent)
    return agent
  }

  /** Announces the endpoint's incarnation to its agent. */
  private announce (agent: Agent): void {
    const { host, process, endpoint } = agent
    host.setEndpoint({
      service: 's',
      incarnation: `i${this.endpoints.indexOf(endpoint)}`,
      address: endpoint.address,
      capacity: Number.isFinite(endpoint.announcedCpuMilli) ? { ...this.capacity, cpuMilli: endpoint.announcedCpuMilli } : this.capacity,
      // Calls of a dead process reach nothing and never return.
      endpoint: {
        start: (order) => agent.isUp ? process.receive(endpoint.start(order)) : new Promise(() => {}),
        stop: (run) => agent.isUp ? process.receive(endpoint.stop(run)) : new Promise(() => {}),
        poll: (request) => agent.isUp ? process.receive(endpoint.poll(request)) : new Promise(() => {})
      }
    })
  }

  private countEndedStart ({ outcome, reason }: TaskResult): void {
    this.onEndedStart()
    const cause = reason || outcome
    this.endedStartCounts.set(cause, (this.endedStartCounts.get(cause) ?? 0) + 1)
  }

  private countMovedRun (): void {
    this.movedRunCount++
    this.onMoved()
  }

  private drop (pair: Pair): void {
    pair.close?.()
    pair.close = undefined
  }

  /**
   * Opens a session between an agent and an entry, if there is none and both can. Each
   * end closes by itself once it times out, or when it learns that the other has closed.
   */
  private connect (pair: Pair): void {
    if (pair.close !== undefined || pair.isCut) return
    const agent = this.agents[pair.agent]!
    const entry = this.entries[pair.entry]!
    if (!agent.isUp || agent.process.isPaused || entry.process.isPaused) return
    const hello = create(HelloSchema, { agentId: `a${pair.agent}`, incarnation: agent.incarnation, zone: this.zoneOf(pair.agent) })
    // The agent dials again in the next step.
    if (entry.dispatcher.sessions.isOutdated(hello, agent.process.now(), entry.process.now())) return
    const isOpen = { agent: true, entry: true }
    let acknowledgedSeq = 0n
    const agentNow = (): number => agent.process.now()
    const entryNow = (): number => entry.process.now()
    const receivedAt = { agent: agentNow(), entry: entryNow() }
    let sentToAgentAt = entryNow()
    const delayed: Array<() => void> = []
    const deliver = (process: ProcessClock, fn: () => void): void => {
      if (pair.isCut) delayed.push(() => process.run(fn))
      else setImmediate(() => process.run(fn))
    }
    let pendingToEntry: AgentFrame | undefined
    const toEntry = (fill: (frame: AgentFrame) => void): void => {
      if (!isOpen.agent) return
      if (pendingToEntry !== undefined) return fill(pendingToEntry)
      pendingToEntry = create(AgentFrameSchema)
      fill(pendingToEntry)
      if (this.mergesFrames) setImmediate(() => agent.process.run(flushToEntry))
      else flushToEntry()
    }
    const flushToEntry = (): void => {
      const frame = pendingToEntry
      pendingToEntry = undefined
      if (frame === undefined || !agent.isUp) return
      agent.host.fillFrame(entry.incarnation, toEntry, frame)
      if (!isOpen.agent) return
      deliver(entry.process, () => {
        if (!isOpen.entry || !entry.isUp) return
        receivedAt.entry = entryNow()
        entry.dispatcher.sessions.onFrame(handle, link, frame)
      })
    }
    // Like the outbox of a session: changes that are ready in the same turn of the event loop go into one frame.
    let pendingToAgent: EntryFrame | undefined
    const toAgent = (fill: (frame: EntryFrame) => void): void => {
      if (!isOpen.entry) return
      if (pendingToAgent !== undefined) return fill(pendingToAgent)
      pendingToAgent = create(EntryFrameSchema)
      fill(pendingToAgent)
      if (this.mergesFrames) setImmediate(() => entry.process.run(flushToAgent))
      else flushToAgent()
    }
    const flushToAgent = (): void => {
      if (pair.isBlocked === true && isOpen.entry) {
        entry.process.after(STEP_MS, flushToAgent)
        return
      }
      const frame = pendingToAgent
      pendingToAgent = undefined
      if (frame === undefined || !entry.isUp) return
      frame.ackedSeq = acknowledgedSeq
      sentToAgentAt = entryNow()
      this.entryFrameCount++
      if (isOpen.entry) entry.dispatcher.sessions.fillFrame(handle, frame)
      deliver(agent.process, () => {
        if (!isOpen.agent || !agent.isUp) return
        receivedAt.agent = agentNow()
        agent.host.onFrame(entry.incarnation, toEntry, frame)
      })
    }
    const link: AgentLink = { add: toAgent, acknowledge: (seq) => { acknowledgedSeq = seq }, close: () => { closeAtEntry() } }
    const closeAtAgent = (): void => {
      if (!isOpen.agent) return
      isOpen.agent = false
      agent.host.closeSession(entry.incarnation, toEntry)
    }
    const closeAtEntry = (): void => {
      if (!isOpen.entry) return
      isOpen.entry = false
      entry.dispatcher.sessions.closed(handle, link)
    }
    const handle = entry.dispatcher.sessions.open(hello, link)
    agent.host.openSession(entry.incarnation, toEntry)
    const close = (): void => {
      agent.process.run(closeAtAgent)
      entry.process.run(closeAtEntry)
    }
    const redialLater = (): void => {
      // A connection that was dropped is unset already, and may have a successor.
      this.clock.after(REDIAL_MS, () => { if (pair.close === close) pair.close = undefined })
    }
    const checkConnection = (): void => {
      if (!isOpen.agent && !isOpen.entry) return redialLater()
      if (!pair.isCut) for (const fn of delayed.splice(0)) fn()
      const isAgentRunning = !agent.process.isPaused
      const isEntryRunning = !entry.process.isPaused
      if (isAgentRunning && agentNow() - receivedAt.agent > SESSION_TIMEOUT_MS) closeAtAgent()
      if (isEntryRunning && entryNow() - receivedAt.entry > SESSION_TIMEOUT_MS) closeAtEntry()
      if (!isOpen.agent && !pair.isCut && isEntryRunning) closeAtEntry()
      if (!isOpen.entry && !pair.isCut && isAgentRunning) closeAtAgent()
      if (!isOpen.agent && !isOpen.entry) return redialLater()
      if (isAgentRunning) toEntry(() => {})
      this.clock.after(KEEP_ALIVE_MS, checkConnection)
    }
    const keepEntryAlive = (): void => {
      if (!isOpen.entry) return
      const dueMs = sentToAgentAt + ENTRY_KEEP_ALIVE_MS - entryNow()
      if (dueMs <= 0) toAgent(() => {})
      entry.process.after(dueMs <= 0 ? ENTRY_KEEP_ALIVE_MS : dueMs, keepEntryAlive)
    }
    entry.process.after(ENTRY_KEEP_ALIVE_MS, keepEntryAlive)
    pair.close = close
    checkConnection()
  }
}
