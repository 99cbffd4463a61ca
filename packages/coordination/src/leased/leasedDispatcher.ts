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

/** Health records compare run times of different kinds of task, so they get them scaled: a run that took as long as expected counts as this many ms. */
const EXPECTED_SCALE_MS = 100
/** A process that has just started does not know its agents yet: after an outage of all, they take about two seconds to connect. */
const DISCOVERY_MS = 3000
/** Pause before a task is sent again whose run under an earlier entry is not terminated yet. */
const DUPLICATE_RETRY_MS = 150
/** Reasons for which a refused start has a better chance at another agent. */
const RETRY_ELSEWHERE_REASONS: ReadonlySet<string> = new Set([REASONS.endpointBusy, REASONS.endpointRefused, REASONS.orderUnanswered])

/**
 * Dispatches the ephemeral jobs of one entry: queues them, sends their tasks to agents
 * and follows each run to its end.
 *
 * Invariant: a task is sent only if none of its earlier runs can run any more. A run is
 * confirmed terminated when its agent reports so, when the agent's next process has
 * reported an endpoint, as it does so only once nothing runs there, or
 * `terminationBoundMs` after the last frame received from its agent.
 */
export class LeasedDispatcher {
  /** This entry's side of its sessions with agents. */
  readonly sessions: LeasedSessions
  /** Agents and queues. */
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

  /** Number of jobs that have not ended. */
  get openJobs (): number {
    return [...this.jobs.values()].filter(({ end }) => end === undefined).length
  }

  /** Number of jobs with tasks that wait to be sent. */
  get waitingJobs (): number {
    return [...this.fleet.services.values()].reduce((sum, { queue }) => sum + queue.size, 0)
  }

  /** Number of queues that are below their floors. */
  get queuesBelowFloor (): number {
    return this.fleet.queuesBelowFloor
  }

  /** Number of waiting jobs of a kind of which no task may have run. */
  pendingOf (kind: string): number {
    return this.fleet.pendingOf(kind)
  }

  /** Run time to expect of a task of such a job, in ms, learned from earlier runs. */
  expectedMs ({ kind, estimateMs }: Pick<LeasedJobSpec, 'kind' | 'estimateMs'>): number {
    return this.runTimes.expect(kind, estimateMs)
  }

  /** The job with this key; also one that has ended, until its runs are confirmed terminated. */
  find (key: string): LeasedJob | undefined {
    return this.jobs.get(key)
  }

  /**
   * Admits a job or refuses it. No job with its key may be known here.
   *
   * @param spec - the job as its caller submitted it
   * @param onEnd - called once, when the job ends; for a refused job, before this method returns
   */
  submit (spec: LeasedJobSpec, onEnd: (end: LeasedJobEnd) => void): LeasedJob {
    const { clock } = this.options
    const job = createLeasedJob(spec, clock.now(), this.expectedMs(spec), onEnd)
    this.fleet.serviceOf(job.service).load.onArrived(job.priority, queuedWork(job))
    const refusal = this.suspects.endOf(job) ?? (this.isDiscovering ? undefined : findRefusal(job, this.fleet, this.fleet.loadOf(job.service), this.fleet.policy))
    if (refusal === undefined) this.enqueue(job)
    else this.finish(job, refusal)
    return job
  }

  private enqueue (job: LeasedJob): void {
    this.jobs.set(job.key, job)
    const { queue, load } = this.fleet.serviceOf(job.service)
    load.onAdmitted(job.priority, queuedWork(job))
    queue.add(job)
    this.sender.schedule(job.service)
  }

  /** Ends a job early: drops its waiting tasks and stops its runs. */
  cancel (job: LeasedJob, reason: Reason, message: string): void {
    if (job.end !== undefined) return
    this.finish(job, { type: 'failed', reason, message })
  }

  /** Handles lost agents, passed deadlines, jobs to shed and stragglers. To be called a few tens of times a second. */
  sweep (): void {
    const now = this.options.clock.now()
    this.sessions.sweep(now)
    for (const job of [...this.jobs.values()]) this.checkDeadline(job, now)
    for (const service of this.fleet.services.keys()) this.shed(service, now)
    this.moveStragglers(now)
    this.sender.scheduleAll()
  }

  /** True while jobs are admitted without a forecast, as this process does not know its endpoints yet. */
  private get isDiscovering (): boolean {
    return !this.sessions.hasSeenEndpoint && this.options.clock.now() - this.startedAt < DISCOVERY_MS
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
    this.forgetIfTerminated(job)
  }

  private onNotStarted (agent: LeasedAgent, { job, index }: SentRun, reason: Reason): void {
    if (RETRY_ELSEWHERE_REASONS.has(reason)) {
      this.fleet.healthOf(agent)?.failed(agent.agentId)
      job.tasks[index]!.avoidedAgents.add(agent.agentId)
    }
    job.mayHaveRun--
    this.fleet.serviceOf(job.service).load.onStarted(job.priority, -job.need.cpuMilli * job.expectedMs)
    if (reason !== REASONS.duplicateStart) return this.requeue(agent, job, index, reason)
    // A run of this task under an earlier entry is not terminated yet, so no other one may start anywhere.
    this.options.clock.after(DUPLICATE_RETRY_MS, () => this.requeue(agent, job, index, reason))
  }

  private onFailed (agent: LeasedAgent, sent: SentRun, reason: Reason): void {
    const { job, index } = sent
    const task = job.tasks[index]!
    if (task.isMoving) task.avoidedAgents.add(agent.agentId)
    const end = this.suspects.onFailed(agent, sent, reason)
    if (end !== undefined) this.finish(job, end)
    // For other reasons neither the task nor the endpoint is at fault.
    if (reason !== REASONS.endpointError) return this.requeue(agent, job, index, reason)
    this.fleet.healthOf(agent)?.failed(agent.agentId)
    task.failures++
    task.avoidedAgents.add(agent.agentId)
    if (task.failures >= job.attempts && job.end === undefined) {
      this.finish(job, { type: 'failed', reason: REASONS.taskFailed, message: `task ${index} failed ${task.failures} times` })
    }
    this.requeue(agent, job, index, reason)
  }

  /** Queues a task again whose run is terminated without success. */
  private requeue (agent: LeasedAgent, job: LeasedJob, index: number, reason: Reason): void {
    const task = job.tasks[index]!
    job.unterminatedRuns--
    task.state = LEASED_TASK_STATES.queued
    task.isMoving = false
    if (job.end !== undefined) return this.forgetIfTerminated(job)
    this.options.events.requeued(job, index, agent.agentId, reason)
    job.queue.push(index)
    this.fleet.serviceOf(job.service).queue.add(job)
    this.sender.schedule(job.service)
  }

  private onLost (agent: LeasedAgent, { job, index }: SentRun, reason: Reason): void {
    this.requeue(agent, job, index, reason)
  }

  private checkDeadline (job: LeasedJob, now: number): void {
    if (now >= job.deadlineAt) this.cancel(job, REASONS.deadline, 'the caller\'s deadline has passed')
  }

  /** Refuses waiting jobs that cannot start in time, by the forecast wait. */
  private shed (service: string, now: number): void {
    const { queue, load } = this.fleet.serviceOf(service)
    load.recordWaiting(queue.size > 0)
    if (queue.size === 0) return
    const view = this.fleet.loadOf(service)
    for (const { job, end } of findJobsToShed(queue.inOrder(now, view), now, view, this.fleet.policy)) this.finish(job, end)
  }

  /** Stops runs that take far longer than others of their kind, so that their tasks run elsewhere. */
  private moveStragglers (now: number): void {
    for (const { agent, job, index, sentAt } of findStragglers(this.fleet, this.runTimes, now, this.fleet.policy.move)) {
      job.tasks[index]!.isMoving = true
      this.options.events.moved(job, index, agent.agentId, now - sentAt)
      this.fleet.healthOf(agent)?.failed(agent.agentId)
      this.revoke(agent, job, [index], REASONS.moved)
    }
  }

  private revoke (agent: LeasedAgent, job: LeasedJob, tasks: number[], reason: Reason): void {
    const { workspace, id } = job
    const revoke = create(RevokeSchema, { workspace, submission: id, tasks, lastStart: this.sender.lastStart })
    this.options.events.revoked(job, agent, tasks, reason)
    agent.link?.add((frame) => { frame.revokes.push(revoke) })
  }

  private finish (job: LeasedJob, end: LeasedJobEnd): void {
    if (job.end !== undefined) return
    if (end.type === 'refused') this.fleet.serviceOf(job.service).load.onRefused(job.priority, queuedWork(job))
    job.end = end
    job.queue = []
    this.fleet.services.get(job.service)?.queue.remove(job)
    if (end.type === 'failed') this.revokeAll(job, end.reason)
    this.options.events.ended(job, end)
    job.onEnd(end)
    this.forgetIfTerminated(job)
  }

  private revokeAll (job: LeasedJob, reason: Reason): void {
    for (const agent of this.fleet.agents.values()) {
      if ([...agent.sent.values()].some((sent) => sent.job === job)) this.revoke(agent, job, [], reason)
    }
  }

  private forgetIfTerminated (job: LeasedJob): void {
    if (job.end === undefined || job.unterminatedRuns > 0) return
    if (this.jobs.get(job.key) === job) this.jobs.delete(job.key)
    job.onTerminated?.()
    job.onTerminated = undefined
  }
}
