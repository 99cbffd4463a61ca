import { create } from '@bufbuild/protobuf'
import { Dispatcher, JOB_ORDERS, PICK_RULES, TaskHost, taskKey } from '../src/index.js'
import type { AgentHandle, AgentLink, AttemptEnd, Job } from '../src/index.js'
import { AgentFrameSchema, EndpointStateSchema, EntryFrameSchema, HelloSchema, TASK_OUTCOMES } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame, Reason } from '@hazellift/protocol'
import { createFakeClock } from './fakeClock.js'

/** A task that the fake endpoint runs until the test ends it. */
interface RunningTask {
  key: string
  end: (end: AttemptEnd) => void
}

/** A session between one agent and one entry, with the frames in transit. */
interface FakeSession {
  toEntry: AgentFrame[]
  toAgent: EntryFrame[]
  open: boolean
  /** Delivers the oldest frame to the entry, if there is one. */
  deliverToEntry: () => void
  /** Delivers the oldest frame to the agent, if there is one. */
  deliverToAgent: () => void
  /** Ends the session on both sides. */
  cut: () => void
}

/** An entry of the fake network. */
export interface FakeEntry {
  incarnation: string
  dispatcher: Dispatcher
  complete: Job[]
  failed: { job: Job, reason: Reason }[]
  takenOver: Job[]
}

/** An agent of the fake network. */
export interface FakeAgent {
  id: string
  incarnation: number
  host: TaskHost
  running: RunningTask[]
  /** Keys of jobs whose takeover has reached this agent. */
  collected: Set<string>
}

const SERVICE = 'service'
const SLOTS = 2
/** Resume window of the entries. */
export const RESUME_WINDOW_MS = 2000
/** Oldest timestamp with which agents accept a start. */
export const START_AGE_MS = 1500
/** How long agents remember ended tasks. */
export const MEMORY_MS = 60_000

/** Entries and agents with ordered links whose frames a test delivers or delays, and whose sessions it cuts. */
export class FakeNetwork {
  readonly clock = createFakeClock()
  /** Task keys of all starts at endpoints. */
  readonly starts: string[] = []
  /** Descriptions of starts that an agent should have refused. */
  readonly violations: string[] = []
  readonly agents: FakeAgent[]
  readonly entries: FakeEntry[]
  /** The latest session of each pair of entry and agent. */
  readonly sessions = new Map<string, FakeSession>()
  /** Sessions that were replaced; their frames may still arrive at the agent. */
  readonly replaced: FakeSession[] = []
  private readonly deferred: (() => void)[] = []

  constructor (entries: number, agents: number, private readonly maxAnswerSize = Infinity) {
    this.entries = Array.from({ length: entries }, (_, index) => this.createEntry(index))
    this.agents = Array.from({ length: agents }, (_, index) => this.createAgent(index, 0))
    for (const entry of this.entries) for (const agent of this.agents) this.connect(entry, agent)
  }

  /** Task keys that were started more than once. */
  get duplicateStarts (): string[] {
    return this.starts.filter((key, index) => this.starts.indexOf(key) !== index)
  }

  /** Adds an entry that has no session yet. */
  addEntry (): FakeEntry {
    const entry = this.createEntry(this.entries.length)
    this.entries.push(entry)
    return entry
  }

  /** Opens a session; an earlier session of the pair is cut first, as the dialer does. */
  connect (entry: FakeEntry, agent: FakeAgent): void {
    const previous = this.latestSession(entry, agent)
    previous?.cut()
    if (previous !== undefined) this.replaced.push(previous)
    const session = this.createSession(entry, agent)
    this.sessions.set(sessionKey(entry, agent), session)
  }

  /** The latest session of a pair, open or cut. */
  latestSession (entry: FakeEntry, agent: FakeAgent): FakeSession | undefined {
    return this.sessions.get(sessionKey(entry, agent))
  }

  /** Replaces an agent's process by a new one without any memory of starts. */
  restartAgent (index: number): void {
    const previous = this.agents[index]!
    for (const entry of this.entries) this.latestSession(entry, previous)?.cut()
    this.agents[index] = this.createAgent(index, previous.incarnation + 1)
  }

  /** Delivers all frames and the frames that follow from them, for 50 rounds. */
  deliverAll (): void {
    for (let round = 0; round < 50; round++) {
      for (const session of this.sessions.values()) {
        while (session.open && session.toAgent.length > 0) session.deliverToAgent()
        while (session.open && session.toEntry.length > 0) session.deliverToEntry()
      }
      this.runDeferred()
    }
  }

  /** Runs the functions that the dispatchers have deferred. */
  runDeferred (): void {
    for (let fn = this.deferred.shift(); fn !== undefined; fn = this.deferred.shift()) fn()
  }

  private createEntry (index: number): FakeEntry {
    const entry: FakeEntry = { incarnation: `entry-${index}`, complete: [], failed: [], takenOver: [], dispatcher: undefined as never }
    entry.dispatcher = new Dispatcher({
      isEvacuated: () => false,
      clock: this.clock,
      random: () => 0.5,
      zone: '',
      rule: PICK_RULES.credits,
      order: JOB_ORDERS.arrival,
      events: {
        complete: (job) => { entry.complete.push(job) },
        failed: (job, reason) => {
          entry.failed.push({ job, reason })
          entry.dispatcher.drop(job)
        },
        takenOver: (job) => {
          entry.takenOver.push(job)
          entry.dispatcher.release(job)
        },
        started: () => {},
        ended: () => {},
        wasted: () => {}
      },
      weightOf: () => 1,
      maxRunningOf: () => Infinity,
      resumeWindowMs: RESUME_WINDOW_MS,
      collectTimeoutMs: 1000,
      maxEjectedShare: 0.5,
      ejectionBackoff: () => 1000,
      defer: (fn) => { this.deferred.push(fn) }
    })
    return entry
  }

  private createAgent (index: number, incarnation: number): FakeAgent {
    const running: RunningTask[] = []
    const collected = new Set<string>()
    const host = new TaskHost({
      clock: this.clock,
      standingCredits: 1,
      overflowQueue: 0,
      startAgeMs: START_AGE_MS,
      memoryMs: MEMORY_MS,
      maxAnswerSize: this.maxAnswerSize,
      runAttempt: (start, _endpoint, signal) => new Promise((resolve) => {
        const key = taskKey(start.key!)
        const task = key.split('#')[0]!
        if (this.agents.some((agent) => agent.running.some((other) => other.key.split('#')[0] === task))) {
          this.violations.push(`${key} started while another attempt ran`)
        }
        this.starts.push(key)
        if (collected.has(key.slice(0, key.lastIndexOf('/')))) this.violations.push(`${key} started after its job was taken over`)
        if (this.clock.now() - start.stampMs > START_AGE_MS) this.violations.push(`${key} started with a timestamp that was too old`)
        running.push({ key, end: resolve })
        signal.addEventListener('abort', () => resolve({ outcome: TASK_OUTCOMES.failed, reason: 'endpoint_reset', body: '' }))
      })
    })
    host.setEndpoint(create(EndpointStateSchema, { service: SERVICE, slots: SLOTS, address: 'x' }))
    return { id: `agent-${index}`, incarnation, host, running, collected }
  }

  private createSession (entry: FakeEntry, agent: FakeAgent): FakeSession {
    const { host } = agent
    let handle: AgentHandle | undefined
    let ackedSeq = 0n
    const send = (add: (frame: AgentFrame) => void): void => {
      const frame = create(AgentFrameSchema)
      add(frame)
      host.fillFrame(entry.incarnation, send, frame)
      if (session.open) session.toEntry.push(frame)
    }
    const link: AgentLink = {
      add: (add) => {
        const frame = create(EntryFrameSchema)
        add(frame)
        frame.ackedSeq = ackedSeq
        if (session.open) session.toAgent.push(frame)
      },
      acknowledge: (seq) => { ackedSeq = seq },
      close: () => session.cut()
    }
    const session: FakeSession = {
      toEntry: [],
      toAgent: [],
      open: true,
      deliverToEntry: () => {
        const frame = session.toEntry.shift()
        if (frame?.hello !== undefined) handle = entry.dispatcher.open(frame.hello, link)
        if (frame !== undefined) entry.dispatcher.onFrame(handle!, link, frame)
      },
      deliverToAgent: () => {
        const frame = session.toAgent.shift()
        if (frame === undefined) return
        host.onFrame(entry.incarnation, send, frame)
        if (session.open) for (const { workspace, submission } of frame.collects) agent.collected.add(`${workspace}/${submission}`)
      },
      cut: () => {
        if (!session.open) return
        session.open = false
        host.closeSession(entry.incarnation, send)
        if (handle !== undefined) entry.dispatcher.closed(handle, link)
      }
    }
    host.openSession(entry.incarnation, send)
    // First on the link, and filled while the session is open, as in the transport.
    const first = create(AgentFrameSchema, { hello: create(HelloSchema, { agentId: agent.id, incarnation: String(agent.incarnation), zone: '' }) })
    host.fillFrame(entry.incarnation, send, first)
    session.toEntry.unshift(first)
    return session
  }
}

const sessionKey = (entry: FakeEntry, agent: FakeAgent): string => `${entry.incarnation} ${agent.id}`

/** Options that the jobs of the fake service have in common. */
export const JOB_BASE = {
  workspace: 'w', service: SERVICE, unrepeatable: false, priority: 0, retries: 0, leaseMs: 1_000_000, arrivedAt: 0, deadlineAt: 1_000_000
}
