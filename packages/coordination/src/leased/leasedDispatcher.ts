import { create } from '@bufbuild/protobuf'
import { queuedWork } from '@hazellift/decisions'
import { REASONS, RevokeSchema, TASK_OUTCOMES } from '@hazellift/protocol'
import type { Reason, TaskResult } from '@hazellift/protocol'
import { findStragglers } from './findStragglers.js'
import { findJobsToShed, findRefusal } from './leasedAdmission.js'
import type { LeasedAgent, SentRun } from './leasedAgent.js'
import type { LeasedDispatcherOptions } from './leasedDispatcherOptions.js'
import { LeasedFleet } from './leasedFleet.js'
import { LEASED_TASK_STATES, createLeasedJob } from './leasedJob.js'
import type { LeasedJob, LeasedJobEnd, LeasedJobSpec } from './leasedJob.js'
import { LeasedSender } from './leasedSender.js'
import { LeasedSessions } from './leasedSessions.js'
import { RunTimes } from './runTimes.js'
import { Suspects } from './suspects.js'

/** Scale of run times in the health records, which compare them with the expected ones. */
const EXPECTED_SCALE_MS = 100
/** A process that has just started does not know its agents yet; after an outage of all they take about two seconds. */
const JOIN_MS = 3000
/** Pause before a task is sent again that an earlier entry's order still holds. */
const DUPLICATE_PAUSE_MS = 150
/** Reasons after which a start has a better chance elsewhere. */
const TURNED_AWAY: ReadonlySet<string> = new Set([REASONS.endpointBusy, REASONS.endpointRefused, REASONS.orderUnanswered])

/**
 * Jobs of one entry that are not kept, and the orders it has sent.
 *
 * Invariant: a task is sent only while none of its earlier orders can run. An
 * order is over when its agent says so, when the agent's next process has
 * proved that nothing runs there, or `provedOverMs` after the last frame read
 * from its agent.
 */
export class LeasedDispatcher {
  /** This entry's side of its sessions with agents. */
  readonly sessions: LeasedSessions
  /** Agents, queues and what is known of both. */
  readonly fleet: LeasedFleet
  private readonly sender: LeasedSender
  private readonly jobs = new Map<string, LeasedJob>()
  private readonly runTimes = new RunTimes()
  private readonly suspects: Suspects
  private readonly startedAt: number

  constructor (private readonly options: LeasedDispatcherOptions) {
    this.fleet = new LeasedFleet(options)
    this.sender = new LeasedSender({ ...options, fleet: this.fleet, onSent: options.events.sent })
    this.sessions = new LeasedSessions({
      ...options,
      fleet: this.fleet,
      onResult: (agent, sent, result) => this.onResult(agent, sent, result),
      onNotStarted: (agent, sent, reason) => this.onNotStarted(agent, sent, reason),
      onLost: (agent, sent, reason) => this.onLost(agent, sent, reason),
      schedule: (service) => this.sender.schedule(service)
    })
    this.suspects = new Suspects(options.clock.now, options.events.suspected)
    this.startedAt = options.clock.now()
  }

  /** Jobs not ended. */
  get openJobs (): number {
    return [...this.jobs.values()].filter(({ end }) => end === undefined).length
  }

  /** Jobs with tasks that wait to be sent. */
  get waitingJobs (): number {
    return [...this.fleet.services.values()].reduce((sum, { queue }) => sum + queue.size, 0)
  }

  /** Queues that got less lately than what is kept for them. */
  get queuesBelowFloor (): number {
    return this.fleet.queuesBelowFloor
  }

  /** Jobs of a kind of which nothing was started. */
  pendingOf (kind: string): number {
    return this.fleet.pendingOf(kind)
  }

  /** How long a task of such a job takes, as learned. */
  expectedMs ({ kind, estimateMs }: Pick<LeasedJobSpec, 'kind' | 'estimateMs'>): number {
    return this.runTimes.expect(kind, estimateMs)
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
    this.fleet.serviceOf(job.service).load.onArrived(job.priority, queuedWork(job))
    const refusal = this.suspects.endOf(job) ?? (this.isJoining ? undefined : findRefusal(job, this.fleet, this.fleet.loadOf(job.service), this.fleet.policy))
    if (refusal === undefined) this.take(job)
    else this.finish(job, refusal)
    return job
  }

  private take (job: LeasedJob): void {
    this.jobs.set(job.key, job)
    const { queue, load } = this.fleet.serviceOf(job.service)
    load.onAdmitted(job.priority, queuedWork(job))
    queue.add(job)
    this.sender.schedule(job.service)
  }

  /** Ends a job early: what waits is dropped, what runs is stopped. */
  cancel (job: LeasedJob, reason: Reason, message: string): void {
    if (job.end !== undefined) return
    this.finish(job, { type: 'failed', reason, message })
  }

  /** Looks at what time has changed; to be called a few tens of times a second. */
  sweep (): void {
    const now = this.options.clock.now()
    this.sessions.sweep(now)
    for (const job of [...this.jobs.values()]) this.checkDeadline(job, now)
    for (const service of this.fleet.services.keys()) this.giveUp(service, now)
    this.moveStragglers(now)
    this.sender.scheduleAll()
  }

  /** True while a job may wait for endpoints that this process does not know yet. */
  private get isJoining (): boolean {
    return !this.sessions.hasSeenEndpoint && this.options.clock.now() - this.startedAt < JOIN_MS
  }

  private onResult (agent: LeasedAgent, sent: SentRun, result: TaskResult): void {
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
    job.unterminatedRuns--
    job.longestRunMs = Math.max(job.longestRunMs, runMs)
    job.tasks[index]!.state = LEASED_TASK_STATES.done
    job.doneCount++
    if (job.doneCount === job.count) this.finish(job, { type: 'complete' })
    this.forgetIfOver(job)
  }

  private onNotStarted (agent: LeasedAgent, { job, index }: SentRun, reason: Reason): void {
    if (TURNED_AWAY.has(reason)) {
      this.fleet.healthOf(agent)?.failed(agent.agentId)
      job.tasks[index]!.avoidedAgents.add(agent.agentId)
    }
    job.mayHaveRun--
    this.fleet.serviceOf(job.service).load.onStarted(job.priority, -job.need.cpuMilli * job.expectedMs)
    if (reason !== REASONS.duplicateStart) return this.requeue(agent, job, index, reason)
    // An earlier entry's run of this task is not over yet; nowhere may another one begin.
    this.options.clock.after(DUPLICATE_PAUSE_MS, () => this.requeue(agent, job, index, reason))
  }

  private onFailed (agent: LeasedAgent, sent: SentRun, reason: Reason): void {
    const { job, index } = sent
    const task = job.tasks[index]!
    task.attempt++
    if (task.isMoving) task.avoidedAgents.add(agent.agentId)
    const end = this.suspects.onFailed(agent, sent, reason)
    if (end !== undefined) this.finish(job, end)
    // Of other ends neither the task nor its endpoint is at fault.
    if (reason !== REASONS.endpointError) return this.requeue(agent, job, index, reason)
    this.fleet.healthOf(agent)?.failed(agent.agentId)
    task.failures++
    task.avoidedAgents.add(agent.agentId)
    if (task.failures >= job.attempts && job.end === undefined) {
      this.finish(job, { type: 'failed', reason: REASONS.taskFailed, message: `task ${index} failed ${task.failures} times` })
    }
    this.requeue(agent, job, index, reason)
  }

  /** An order is over and its task is not done. */
  private requeue (agent: LeasedAgent, job: LeasedJob, index: number, reason: Reason): void {
    const task = job.tasks[index]!
    job.unterminatedRuns--
    task.state = LEASED_TASK_STATES.queued
    task.isMoving = false
    if (job.end !== undefined) return this.forgetIfOver(job)
    this.options.events.requeued(job, index, agent.agentId, reason)
    job.queue.push(index)
    this.fleet.serviceOf(job.service).queue.add(job)
    this.sender.schedule(job.service)
  }

  private onLost (agent: LeasedAgent, { job, index }: SentRun, reason: Reason): void {
    job.tasks[index]!.attempt++
    this.requeue(agent, job, index, reason)
  }

  private checkDeadline (job: LeasedJob, now: number): void {
    if (now >= job.deadlineAt) this.cancel(job, REASONS.deadline, 'the caller\'s deadline has passed')
  }

  /** Refuses what waits and will not begin in time, by what is ahead of it now. */
  private giveUp (service: string, now: number): void {
    const { queue, load } = this.fleet.serviceOf(service)
    load.recordWaiting(queue.size > 0)
    if (queue.size === 0) return
    const view = this.fleet.loadOf(service)
    for (const { job, end } of findJobsToShed(queue.inOrder(now, view), now, view, this.fleet.policy)) this.finish(job, end)
  }

  /** Stops runs that take far longer than others of their kind, so that they can run elsewhere. */
  private moveStragglers (now: number): void {
    for (const { agent, job, index, sentAt } of findStragglers(this.fleet, this.runTimes, now, this.fleet.policy.move)) {
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
    if (end.type === 'refused') this.fleet.serviceOf(job.service).load.onRefused(job.priority, queuedWork(job))
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
      if ([...agent.sent.values()].some((sent) => sent.job === job)) this.revoke(agent, job, [])
    }
  }

  private forgetIfOver (job: LeasedJob): void {
    if (job.end === undefined || job.unterminatedRuns > 0) return
    if (this.jobs.get(job.key) === job) this.jobs.delete(job.key)
    job.onTerminated?.()
    job.onTerminated = undefined
  }
}
