import { errorMessage } from '@hazellift/common'
import type { Clock } from '@hazellift/common'
import { REASONS, RUN_STATES } from '@hazellift/protocol'
import type { JobSpec, Reason } from '@hazellift/protocol'
import type { WorkspaceConfig } from '../config/configWatch.js'
import type { Dispatcher } from '../dispatch/dispatcher.js'
import { TokenBucket } from '../limits/tokenBucket.js'
import type { PolicyDecision } from '../policy/types.js'
import { refuse } from './replies.js'
import type { Refusal } from './replies.js'

/** What admission needs. */
export interface AdmissionOptions {
  clock: Clock
  dispatcher: Pick<Dispatcher, 'service' | 'queuedTasks' | 'queuedTotal' | 'runningTasks'>
  findConfig: (workspace: string) => WorkspaceConfig | undefined
  /** Entries that share each limit. */
  entryCount: () => number
  maxQueued: number
}

/** Limits in force for a workspace at this entry; 0 is none. */
interface WorkspaceLimits {
  running: number
  queued: number
  rate: number
}

/** A submission that may run, with what its policy decided. */
export interface Admitted {
  type: 'admitted'
  decision: PolicyDecision
}

const QUEUE_RETRY_MS = 1000
const NO_ENDPOINT_RETRY_MS = 2000

/** The lower of two limits where 0 is none. */
const lowerLimit = (a: number, b: number): number => a === 0 || b === 0 ? Math.max(a, b) : Math.min(a, b)

const refuseNotRun = (reason: Reason, message: string, retryAfterMs = 0): Refusal =>
  refuse(reason, message, RUN_STATES.notRun, retryAfterMs)

/**
 * Decides whether a submission may run, by its workspace's policy and limits
 * and by what this entry can carry.
 */
export class Admission {
  private readonly limits = new Map<string, WorkspaceLimits>()
  private readonly buckets = new Map<string, TokenBucket>()
  private readonly reserved = new Map<string, number>()

  constructor (private readonly options: AdmissionOptions) {}

  /** Most tasks of a workspace that may run from this entry at once. */
  maxRunningOf (workspace: string): number {
    const configured = this.options.findConfig(workspace)?.record.maxRunning ?? 0
    const limit = lowerLimit(configured, this.limits.get(workspace)?.running ?? 0)
    return limit === 0 ? Infinity : this.shareOfThisEntry(limit)
  }

  /** Share of a workspace against the others. */
  weightOf (workspace: string): number {
    return this.options.findConfig(workspace)?.record.weight || 1
  }

  /** Decides about a submission. */
  check (config: WorkspaceConfig, spec: JobSpec, deadlineMs: number): Admitted | Refusal {
    const workspace = config.record.name
    const decision = this.decide(config, spec, deadlineMs)
    if ('type' in decision) return decision
    this.updateLimits(config, decision)
    if (!decision.admit) return refuseNotRun(REASONS.policyDenied, decision.reason)
    return this.checkService(spec, workspace, deadlineMs) ??
      this.checkQueue(workspace, spec.tasks.length) ??
      this.checkRate(workspace, spec.tasks.length) ??
      { type: 'admitted', decision }
  }

  /** Counts tasks as queued while their claim is being written; the result ends that. */
  reserve (workspace: string, tasks: number): () => void {
    this.reserved.set(workspace, this.reservedOf(workspace) + tasks)
    return () => {
      const remaining = this.reservedOf(workspace) - tasks
      if (remaining > 0) this.reserved.set(workspace, remaining)
      else this.reserved.delete(workspace)
    }
  }

  private decide (config: WorkspaceConfig, spec: JobSpec, deadlineMs: number): PolicyDecision | Refusal {
    if (config.compiled === undefined) return refuseNotRun(REASONS.policyFailed, 'the workspace\'s policy does not compile here')
    const { dispatcher } = this.options
    const workspace = config.record.name
    const usage = {
      running: dispatcher.runningTasks(workspace),
      queued: dispatcher.queuedTasks(workspace) + this.reservedOf(workspace)
    }
    const payloadBytes = spec.tasks.reduce((sum, { payload }) => sum + payload.length, 0)
    const { id, service, unrepeatable, labels } = spec
    const job = { id, service, tasks: spec.tasks.length, payloadBytes, unrepeatable, deadlineMs, labels }
    try {
      return config.compiled.evaluate(job, usage)
    } catch (err) {
      return refuseNotRun(REASONS.policyFailed, errorMessage(err))
    }
  }

  private updateLimits ({ record }: WorkspaceConfig, { running, queued, rate }: PolicyDecision): void {
    const limits = {
      running,
      queued: lowerLimit(record.maxQueued, queued),
      rate: lowerLimit(record.maxRate, rate)
    }
    this.limits.set(record.name, limits)
    const bucketRate = limits.rate / this.options.entryCount()
    const bucket = this.buckets.get(record.name)
    if (bucket !== undefined) bucket.setRate(bucketRate)
    else this.buckets.set(record.name, new TokenBucket(bucketRate, this.options.clock.now))
  }

  private checkService (spec: JobSpec, workspace: string, deadlineMs: number): Refusal | undefined {
    const service = this.options.dispatcher.service(spec.service)
    const slots = service?.slots ?? 0
    if (service === undefined || slots === 0) {
      return refuseNotRun(REASONS.noEndpoint, `no endpoint serves '${spec.service}' now`, NO_ENDPOINT_RETRY_MS)
    }
    // A bound from below: even with every slot to itself the job could not end in time.
    const queuedTasks = service.queue.queuedTasks(workspace) + spec.tasks.length
    const minMs = Math.ceil(queuedTasks / slots - 1) * service.health.meanMs
    if (minMs <= deadlineMs) return undefined
    const message = `${queuedTasks} tasks on ${slots} slots take about ${Math.round(minMs)} ms`
    return refuseNotRun(REASONS.deadlineUnreachable, message, Math.round(minMs - deadlineMs))
  }

  private checkQueue (workspace: string, tasks: number): Refusal | undefined {
    const { dispatcher, maxQueued } = this.options
    if (dispatcher.queuedTotal + tasks > maxQueued) {
      return refuseNotRun(REASONS.queueFull, 'this entry\'s queue is full', QUEUE_RETRY_MS)
    }
    const limit = this.limits.get(workspace)?.queued ?? 0
    const queued = dispatcher.queuedTasks(workspace) + this.reservedOf(workspace) + tasks
    if (limit === 0 || queued <= this.shareOfThisEntry(limit)) return undefined
    return refuseNotRun(REASONS.workspaceQueueFull, 'the workspace has too many tasks queued', QUEUE_RETRY_MS)
  }

  private checkRate (workspace: string, tasks: number): Refusal | undefined {
    const bucket = this.buckets.get(workspace)!
    const waitMs = bucket.waitMs()
    if (waitMs > 0) return refuseNotRun(REASONS.workspaceRate, 'the workspace submits too fast', waitMs)
    bucket.take(tasks)
    return undefined
  }

  private reservedOf (workspace: string): number {
    return this.reserved.get(workspace) ?? 0
  }

  /** Part of a workspace's limit that this entry may use. */
  private shareOfThisEntry (limit: number): number {
    return Math.max(1, Math.ceil(limit / this.options.entryCount()))
  }
}
