import type { Clock } from '@hazellift/common'
import { REASONS, TASK_OUTCOMES } from '@hazellift/protocol'
import type { Reason, TaskResult } from '@hazellift/protocol'
import { ENDPOINT_VERDICTS, judgeResult } from '../health/judgeResult.js'
import { TASK_STATES } from '../jobs/job.js'
import type { Job } from '../jobs/job.js'
import { submissionKey, taskKey } from '../tasks/keys.js'
import type { AgentHandle, SentTask } from './agentHandle.js'
import type { DispatchEvents } from './dispatcherOptions.js'
import type { InFlightTasks } from './inFlightTasks.js'
import type { ServiceRegistry } from './serviceRegistry.js'
import type { ServiceState } from './serviceState.js'

/** What settling ends needs. */
export interface TaskEndHandlerOptions {
  clock: Clock
  events: DispatchEvents
  services: ServiceRegistry
  inFlight: InFlightTasks
  /** Jobs that are not finished, by key. */
  jobs: Map<string, Job>
  /** A task waits again. */
  onQueued: (service: ServiceState) => void
}

/** Failures after which the attempt is known to be over: the endpoint answered. After others it may still run. */
const ANSWERED_REASONS: ReadonlySet<string> = new Set([REASONS.endpointError, REASONS.badAnswer])

/** What becomes of a task, its job and its endpoint's record once a start has ended. */
export class TaskEndHandler {
  constructor (private readonly options: TaskEndHandlerOptions) {}

  /** An agent told how a start ended. */
  onResult (agent: AgentHandle, result: TaskResult): void {
    agent.link?.acknowledge(result.seq)
    const key = result.key!
    const sent = this.options.inFlight.remove(agent, taskKey(key))
    if (sent !== undefined) this.correctCharge(sent, result)
    // Also where the job is over: a job's first failure must not hide the others of its endpoint.
    this.recordHealth(agent, result)
    const job = this.options.jobs.get(submissionKey(key.workspace, key.submission))
    const task = job?.tasks[key.task]
    const isAwaited = task !== undefined && (sent !== undefined || task.state === TASK_STATES.unknown)
    if (job === undefined || task === undefined || !isAwaited) return this.options.events.wasted(result.reason as Reason || REASONS.duplicateStart)
    this.onTaskEnded(job, key.task, result)
  }

  private correctCharge ({ job, estimateMs }: SentTask, result: TaskResult): void {
    this.options.services.find(job.service)?.queue.charge(job.workspace, result.runMs - estimateMs)
  }

  private onTaskEnded (job: Job, index: number, result: TaskResult): void {
    this.options.events.ended(job, result)
    if (result.reason === REASONS.takenOver) return this.options.events.takenOver(job)
    if (result.outcome === TASK_OUTCOMES.done) return this.onDone(job, index, result.body)
    if (result.outcome === TASK_OUTCOMES.notStarted) return this.onNotStarted(job, index, result.reason as Reason)
    this.onFailed(job, index, result)
  }

  private recordHealth (agent: AgentHandle, result: TaskResult): void {
    const health = this.options.services.find(agent.service)?.health
    if (health === undefined) return
    switch (judgeResult(result)) {
      case ENDPOINT_VERDICTS.succeeded: return health.succeeded(agent.agentId, result.runMs)
      case ENDPOINT_VERDICTS.failed: return health.failed(agent.agentId)
      case ENDPOINT_VERDICTS.none: return health.inconclusive(agent.agentId)
    }
  }

  private onDone (job: Job, index: number, body: string): void {
    const task = job.tasks[index]!
    task.state = TASK_STATES.done
    task.result = body
    job.hasRun = true
    job.doneCount++
    if (job.doneCount < job.tasks.length) return
    this.options.jobs.delete(job.key)
    this.options.events.complete(job)
  }

  /** The start is proved void, so the task may be sent elsewhere. */
  onNotStarted (job: Job, index: number, reason: Reason): void {
    this.options.events.wasted(reason)
    if (job.collecting !== undefined) return this.options.events.failed(job, REASONS.ownerLost, 'a task never started')
    job.mayHaveRun--
    this.requeue(job, index)
  }

  private onFailed (job: Job, index: number, result: TaskResult): void {
    const task = job.tasks[index]!
    job.hasRun = true
    task.failures++
    const isTerminated = ANSWERED_REASONS.has(result.reason)
    const mayRetry = isTerminated && !job.unrepeatable && job.collecting === undefined && task.failures <= job.retries
    if (mayRetry) return this.requeue(job, index)
    const detail = result.body === '' ? '' : `: ${result.body}`
    this.options.events.failed(job, REASONS.taskFailed, `task ${index}: ${result.reason}${detail}`)
  }

  private requeue (job: Job, index: number): void {
    const task = job.tasks[index]!
    task.state = TASK_STATES.queued
    task.queuedAt = this.options.clock.now()
    const service = this.options.services.getOrCreate(job.service)
    service.queue.requeue(job, index)
    this.options.onQueued(service)
  }
}
