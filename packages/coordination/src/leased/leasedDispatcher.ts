import { create } from '@bufbuild/protobuf'
import { REASONS, RevokeSchema, TASK_OUTCOMES } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame, Hello, Reason, TaskResult } from '@hazellift/protocol'
import type { AgentLink, SessionDispatcher } from '../session/types.js'
import { taskKey } from '../tasks/keys.js'
import { ConfigCopy } from './configCopy.js'
import { findStragglers } from './findStragglers.js'
import { findRefusal, overload } from './leasedAdmission.js'
import { LeasedAgent } from './leasedAgent.js'
import type { SentRun } from './leasedAgent.js'
import { LeasedFleet } from './leasedFleet.js'
import type { LeasedFleetOptions } from './leasedFleet.js'
import { LEASED_TASK_STATES, createLeasedJob } from './leasedJob.js'
import type { LeasedJob, LeasedJobEnd, LeasedJobSpec } from './leasedJob.js'
import { LeasedSender } from './leasedSender.js'
import { RunTimes } from './runTimes.js'
import { provedOverMs } from './times.js'
import type { LeaseTimes } from './times.js'
import type { Resources } from './types.js'

/** What the dispatcher tells its owner, for logs and metrics. */
export interface LeasedDispatchEvents {
  ended: (job: LeasedJob, end: LeasedJobEnd) => void
  /** Starts went out. */
  sent: (job: LeasedJob, agentId: string, tasks: number[], room: Resources) => void
  /** A run that takes too long is being stopped, to run elsewhere. */
  moved: (job: LeasedJob, index: number, agentId: string, runMs: number) => void
  /** A task waits again. */
  requeued: (job: LeasedJob, index: number, agentId: string, reason: Reason) => void
  /** A run ended, or a start was turned away. */
  result: (agentId: string, result: TaskResult) => void
  agentChanged: (agent: LeasedAgent, change: 'session_open' | 'session_closed' | 'endpoint' | 'leaving') => void
  agentLost: (agentId: string, silentMs: number, tasks: number) => void
  /** An agent holds a newer configuration document than this entry. */
  configSeen: (version: bigint, document: Uint8Array) => void
}

/** What the dispatcher needs. */
export interface LeasedDispatcherOptions extends LeasedFleetOptions {
  times: LeaseTimes
  events: LeasedDispatchEvents
  /** Entries that share the endpoints, this one included. */
  entryCount: () => number
  /** Runs `fn` after the events that are ready now. */
  defer: (fn: () => void) => void
}

/** Frames of an agent are echoed no more often than this; at most so long and a keep-alive lie between two echoes. */
const ECHO_PACE_MS = 140
/** Scale of run times in the health records, which compare them with the expected ones. */
const EXPECTED_SCALE_MS = 100
/** A process that has just started does not know its agents yet; after an outage of all they take about two seconds. */
const JOIN_MS = 3000
/** Pause before a task is sent again that an earlier entry's order still holds. */
const DUPLICATE_PAUSE_MS = 150
/** Reasons after which the task itself was at fault, or its endpoint. */
const COUNTED_REASONS: ReadonlySet<string> = new Set([REASONS.endpointError])

/**
 * Jobs of one entry that are not kept, and the orders it has sent.
 *
 * Invariant: a task is sent only while none of its earlier orders can run. An
 * order is over when its agent says so, when the agent's next process has
 * proved that nothing runs there, or `provedOverMs` after the last frame read
 * from its agent.
 */
export class LeasedDispatcher implements SessionDispatcher<LeasedAgent> {
  private readonly fleet: LeasedFleet
  private readonly sender: LeasedSender
  /** Processes of agents that another one has replaced, until their orders are over. */
  private readonly replaced = new Set<LeasedAgent>()
  private readonly jobs = new Map<string, LeasedJob>()
  private readonly runTimes = new RunTimes()
  private readonly config = new ConfigCopy()
  private readonly startedAt: number
  private hasSeenEndpoint = false

  constructor (private readonly options: LeasedDispatcherOptions) {
    this.fleet = new LeasedFleet(options)
    this.sender = new LeasedSender({ ...options, fleet: this.fleet, onSent: options.events.sent })
    this.startedAt = options.clock.now()
  }

  /** Jobs not ended. */
  get openJobs (): number {
    let open = 0
    for (const { end } of this.jobs.values()) if (end === undefined) open++
    return open
  }

  /** Jobs of a kind of which nothing was started. */
  pendingOf (kind: string): number {
    let pending = 0
    for (const { queue } of this.fleet.services.values()) {
      for (const job of queue) if (job.kind === kind && job.mayHaveRun === 0) pending++
    }
    return pending
  }

  /** How long a task of such a job takes, as learned. */
  expectedMs ({ kind, estimateMs }: Pick<LeasedJobSpec, 'kind' | 'estimateMs'>): number {
    return this.runTimes.expect(kind, estimateMs)
  }

  /** Agents with a session. */
  get connectedAgents (): number {
    let connected = 0
    for (const { link } of this.fleet.agents.values()) if (link !== undefined) connected++
    return connected
  }

  /** The job under this key, also if only its last orders are not over. */
  find (key: string): LeasedJob | undefined {
    return this.jobs.get(key)
  }

  /**
   * Takes a job on, or refuses it. No job with its key may be known here.
   *
   * @param onEnd - told of the end, once
   */
  submit (spec: LeasedJobSpec, onEnd: (end: LeasedJobEnd) => void): LeasedJob {
    const { clock } = this.options
    const job = createLeasedJob(spec, clock.now(), this.expectedMs(spec), onEnd)
    const refusal = this.isJoining ? undefined : findRefusal(job, this.fleet, this.options.entryCount())
    if (refusal !== undefined) {
      this.finish(job, refusal)
      return job
    }
    this.jobs.set(job.key, job)
    this.fleet.serviceOf(job.service).queue.add(job)
    this.sender.schedule(job.service)
    return job
  }

  /** Ends a job early: what waits is dropped, what runs is stopped. */
  cancel (job: LeasedJob, reason: Reason, message: string): void {
    if (job.end !== undefined) return
    this.finish(job, { type: 'failed', reason, message })
  }

  /** Looks at what time has changed; to be called a few tens of times a second. */
  sweep (): void {
    const now = this.options.clock.now()
    for (const agent of [...this.fleet.agents.values(), ...this.replaced]) this.checkLost(agent, now)
    for (const job of [...this.jobs.values()]) this.checkTimes(job, now)
    this.moveStragglers(now)
    this.sender.scheduleAll()
  }

  /** A configuration document came into force here; agents keep it for other entries. */
  setConfig (version: bigint, document: Uint8Array): void {
    if (!this.config.offer(version, document)) return
    for (const agent of this.fleet.agents.values()) this.offerConfig(agent)
  }

  open (hello: Hello, link: AgentLink): LeasedAgent {
    const known = this.fleet.agents.get(hello.agentId)
    const isSame = known?.incarnation === hello.incarnation
    if (known !== undefined && !isSame) this.replace(known)
    const agent = known !== undefined && isSame ? known : new LeasedAgent(hello)
    this.fleet.agents.set(agent.agentId, agent)
    agent.connect(link, this.options.clock.now())
    this.options.events.agentChanged(agent, 'session_open')
    return agent
  }

  closed (agent: LeasedAgent, link: AgentLink): void {
    if (agent.link !== link) return
    agent.link = undefined
    this.options.events.agentChanged(agent, 'session_closed')
  }

  stamp (agent: LeasedAgent, frame: EntryFrame): void {
    frame.echoStampMs = agent.stampMs
    frame.configVersion = this.config.version
    frame.wantingPriority = this.fleet.services.get(agent.service)?.queue.firstPriority
    agent.knowsWanting = frame.wantingPriority !== undefined
    agent.echoedAt = this.options.clock.now()
  }

  onFrame (agent: LeasedAgent, link: AgentLink, frame: AgentFrame): void {
    if (agent.link !== link) return
    const now = this.options.clock.now()
    agent.stampMs = frame.stampMs
    agent.heardAt = now
    if (frame.slowness > 0) agent.slowness = frame.slowness
    this.onConfig(agent, frame)
    if (frame.endpoint !== undefined) this.onEndpoint(agent, frame)
    else if (frame.leaving) this.onLeaving(agent)
    if (frame.resume !== undefined) this.onResume(agent, frame.resume.held.map(taskKey))
    for (const result of frame.results) this.onResult(agent, result)
    if (frame.room !== undefined) agent.setRoom(frame.room)
    if (this.owesFrame(agent, now)) link.add(() => {})
    if (agent.service !== '') this.sender.schedule(agent.service)
  }

  /**
   * Only tasks that were sent need their authority renewed, as a start renews
   * it by itself; and an agent that offers room in vain must know.
   */
  private owesFrame ({ sent, echoedAt, knowsWanting, service }: LeasedAgent, now: number): boolean {
    const wantsNoMore = knowsWanting && this.fleet.services.get(service)?.queue.size === 0
    return wantsNoMore || (sent.size > 0 && now - echoedAt >= ECHO_PACE_MS)
  }

  /** True while a job may wait for endpoints that this process does not know yet. */
  private get isJoining (): boolean {
    return !this.hasSeenEndpoint && this.options.clock.now() - this.startedAt < JOIN_MS
  }

  private onConfig (agent: LeasedAgent, { configVersion, config }: AgentFrame): void {
    agent.configVersion = configVersion
    if (config.length > 0 && this.config.offer(configVersion, config)) this.options.events.configSeen(configVersion, config)
    if (configVersion > this.config.version) agent.link?.add((frame) => { frame.wantsConfig = true })
    else this.offerConfig(agent)
  }

  private offerConfig (agent: LeasedAgent): void {
    if (agent.configVersion >= this.config.version) return
    agent.configVersion = this.config.version
    agent.link?.add((frame) => { frame.config = this.config.document })
  }

  private onEndpoint (agent: LeasedAgent, { endpoint, leaving }: AgentFrame): void {
    if (agent.service !== '') this.fleet.serviceOf(agent.service).health.remove(agent.agentId)
    agent.setEndpoint(endpoint!)
    agent.isLeaving = leaving
    this.options.events.agentChanged(agent, 'endpoint')
    if (agent.service === '') return
    this.hasSeenEndpoint = true
    this.fleet.serviceOf(agent.service).health.add(agent.agentId)
    // Its endpoint has shown that nothing of an earlier process of the agent runs any more.
    for (const earlier of [...this.replaced]) if (earlier.agentId === agent.agentId) this.lose(earlier, REASONS.agentLost)
  }

  private onLeaving (agent: LeasedAgent): void {
    agent.isLeaving = true
    this.options.events.agentChanged(agent, 'leaving')
  }

  /** A start that the agent does not hold was never accepted: the earlier session ended before this one began. */
  private onResume (agent: LeasedAgent, held: string[]): void {
    agent.isResumed = true
    const heldKeys = new Set(held)
    for (const [key, sent] of [...agent.sent]) {
      if (heldKeys.has(key)) continue
      agent.sent.delete(key)
      this.onNotStarted(agent, sent, REASONS.lostStart)
    }
  }

  private onResult (agent: LeasedAgent, result: TaskResult): void {
    agent.link?.acknowledge(result.seq)
    const key = taskKey(result.key!)
    const sent = agent.sent.get(key)
    if (sent === undefined) return
    agent.sent.delete(key)
    this.options.events.result(agent.agentId, result)
    const reason = result.reason as Reason
    if (result.outcome === TASK_OUTCOMES.done) return this.onDone(agent, sent, result.runMs)
    if (result.outcome === TASK_OUTCOMES.notStarted) return this.onNotStarted(agent, sent, reason)
    this.onFailed(agent, sent, reason)
  }

  private onDone (agent: LeasedAgent, { job, index }: SentRun, runMs: number): void {
    const ratio = runMs / Math.max(1, this.runTimes.expect(job.kind, job.estimateMs))
    this.fleet.healthOf(agent)?.succeeded(agent.agentId, ratio * EXPECTED_SCALE_MS)
    this.runTimes.observe(job.kind, job.estimateMs, runMs)
    job.unproved--
    job.longestRunMs = Math.max(job.longestRunMs, runMs)
    job.tasks[index]!.state = LEASED_TASK_STATES.done
    job.doneCount++
    if (job.doneCount === job.count) this.finish(job, { type: 'complete' })
    this.forgetIfOver(job)
  }

  private onNotStarted (agent: LeasedAgent, { job, index }: SentRun, reason: Reason): void {
    const isTurnedAway = reason === REASONS.endpointBusy || reason === REASONS.orderUnanswered
    if (isTurnedAway) {
      this.fleet.healthOf(agent)?.failed(agent.agentId)
      job.tasks[index]!.avoid.add(agent.agentId)
    }
    job.mayHaveRun--
    if (reason !== REASONS.duplicateStart) return this.requeue(agent, job, index, reason)
    // An earlier entry's run of this task is not over yet; nowhere may another one begin.
    this.options.clock.after(DUPLICATE_PAUSE_MS, () => this.requeue(agent, job, index, reason))
  }

  private onFailed (agent: LeasedAgent, { job, index }: SentRun, reason: Reason): void {
    const task = job.tasks[index]!
    task.attempt++
    if (task.isMoving) task.avoid.add(agent.agentId)
    if (!COUNTED_REASONS.has(reason)) return this.requeue(agent, job, index, reason)
    this.fleet.healthOf(agent)?.failed(agent.agentId)
    task.failures++
    task.avoid.add(agent.agentId)
    if (task.failures >= job.attempts && job.end === undefined) {
      this.finish(job, { type: 'failed', reason: REASONS.taskFailed, message: `task ${index} failed ${task.failures} times` })
    }
    this.requeue(agent, job, index, reason)
  }

  /** An order is over and its task is not done. */
  private requeue (agent: LeasedAgent, job: LeasedJob, index: number, reason: Reason): void {
    const task = job.tasks[index]!
    job.unproved--
    task.state = LEASED_TASK_STATES.queued
    task.isMoving = false
    if (job.end !== undefined) return this.forgetIfOver(job)
    this.options.events.requeued(job, index, agent.agentId, reason)
    job.queue.push(index)
    this.fleet.serviceOf(job.service).queue.add(job)
    this.sender.schedule(job.service)
  }

  private replace (agent: LeasedAgent): void {
    agent.link?.close()
    agent.link = undefined
    this.fleet.agents.delete(agent.agentId)
    if (agent.service !== '') this.fleet.serviceOf(agent.service).health.remove(agent.agentId)
    if (agent.sent.size > 0) this.replaced.add(agent)
  }

  private checkLost (agent: LeasedAgent, now: number): void {
    const silentMs = now - agent.heardAt
    if (silentMs < provedOverMs(this.options.times)) return
    if (agent.sent.size > 0) this.options.events.agentLost(agent.agentId, Math.round(silentMs), agent.sent.size)
    this.lose(agent, REASONS.agentLost)
    if (agent.link === undefined && this.fleet.agents.get(agent.agentId) === agent) this.replace(agent)
  }

  /** Nothing that was sent to this process of the agent can run any more. */
  private lose (agent: LeasedAgent, reason: Reason): void {
    this.replaced.delete(agent)
    const lost = [...agent.sent.values()]
    agent.sent.clear()
    for (const { job, index } of lost) {
      job.tasks[index]!.attempt++
      this.requeue(agent, job, index, reason)
    }
  }

  private checkTimes (job: LeasedJob, now: number): void {
    if (job.end !== undefined) return
    if (job.mayHaveRun === 0 && now > job.giveUpAt) {
      return this.finish(job, overload('no room came free in time'))
    }
    if (now >= job.deadlineAt) return this.cancel(job, REASONS.deadline, 'the caller\'s deadline has passed')
  }

  /** Stops runs that take far longer than others of their kind, so that they can run elsewhere. */
  private moveStragglers (now: number): void {
    for (const { agent, job, index, sentAt } of findStragglers(this.fleet, this.runTimes, now)) {
      job.tasks[index]!.isMoving = true
      this.options.events.moved(job, index, agent.agentId, now - sentAt)
      this.fleet.healthOf(agent)?.failed(agent.agentId)
      this.revoke(agent, job, [index])
    }
  }

  private revoke (agent: LeasedAgent, { workspace, id }: LeasedJob, tasks: number[]): void {
    agent.link?.add((frame) => {
      frame.revokes.push(create(RevokeSchema, { workspace, submission: id, tasks }))
    })
  }

  private finish (job: LeasedJob, end: LeasedJobEnd): void {
    if (job.end !== undefined) return
    job.end = end
    job.queue = []
    this.fleet.services.get(job.service)?.queue.remove(job)
    if (end.type === 'failed') this.revokeAll(job)
    this.options.events.ended(job, end)
    job.onEnd(end)
    this.forgetIfOver(job)
  }

  private revokeAll (job: LeasedJob): void {
    for (const agent of this.fleet.agents.values()) {
      const isThere = [...agent.sent.values()].some((sent) => sent.job === job)
      if (isThere) this.revoke(agent, job, [])
    }
  }

  private forgetIfOver (job: LeasedJob): void {
    if (job.end === undefined || job.unproved > 0) return
    if (this.jobs.get(job.key) === job) this.jobs.delete(job.key)
    job.onOver?.()
    job.onOver = undefined
  }
}
