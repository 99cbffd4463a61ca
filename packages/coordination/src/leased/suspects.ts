import { judgeSuspect } from '@hazellift/decisions'
import type { LossView, SuspectVerdict } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import type { LeasedAgent, SentRun } from './leasedAgent.js'
import type { LeasedJob, LeasedJobEnd } from './leasedJob.js'

/** An endpoint incarnation that was lost while it ran a task. */
interface Loss extends Omit<LossView, 'others'> {
  at: number
}

/** A crash of an endpoint, and a job of which a task ran there. */
interface Crash {
  at: number
  agent: string
  job: string
}

/**
 * Called when an endpoint was lost under a task that is now suspect or not started
 * again, with the endpoint incarnations lost under it so far.
 */
export type OnSuspect = (job: LeasedJob, index: number, incarnations: string[], verdict: SuspectVerdict) => void

/** Crashes at most this far apart may have a common cause. */
const SAME_CAUSE_MS = 1000
/**
 * How long losses are remembered, even after the end of their job: a job that is
 * submitted again within this time counts as the same one.
 */
const MEMORY_MS = 60_000
/** Largest numbers of tasks and crashes that are remembered, to bound memory. */
const MAX_TASKS = 5000
const MAX_CRASHES = 2000

/** Reasons of results that report the end of an endpoint. */
const CRASH_REASONS: ReadonlySet<Reason> = new Set([REASONS.endpointCrashed, REASONS.endpointCrashedAtStart])
/** Reasons of results that report an endpoint that was lost under a task. */
const LOSS_REASONS: ReadonlySet<Reason> = new Set([...CRASH_REASONS, REASONS.endpointReset])

/** How certain it is that an endpoint crashed under a task. */
type Certainty = 'crashed' | 'silent' | 'crashed_at_start'

const certaintyOf = ({ isCrash, hasBegun }: Loss): Certainty => {
  if (!isCrash) return 'silent'
  return hasBegun ? 'crashed' : 'crashed_at_start'
}

/** Added to the names of incarnations in logs and messages. */
const LOSS_MARKS: Readonly<Record<Certainty, string>> = { crashed: '', silent: ' (silent)', crashed_at_start: ' (start not confirmed)' }

const taskName = (job: Pick<LeasedJob, 'key'>, index: number): string => `${job.key}/${index}`

/**
 * Tracks the tasks of one entry under which endpoints were lost, to find tasks that
 * crash endpoints. Losses outlast their job, because a caller whose connection broke
 * submits the same job again.
 */
export class Suspects {
  private readonly losses = new Map<string, Loss[]>()
  private crashes: Crash[] = []

  constructor (private readonly now: () => number, private readonly onSuspect: OnSuspect) {}

  /**
   * Judges all tasks of a job that arrives.
   *
   * @returns the job's failure if one of its tasks must not be started again
   */
  endOf (job: LeasedJob): LeasedJobEnd | undefined {
    if (this.losses.size === 0) return undefined
    for (const index of job.tasks.keys()) {
      job.tasks[index]!.isSuspect = this.judge(job, index) === 'suspect'
      if (this.judge(job, index) === 'give_up') return this.failureOf(job, index)
    }
    return undefined
  }

  /**
   * Handles a failed run.
   *
   * @returns the job's failure if its task must not be started again
   */
  onFailed ({ agentId }: LeasedAgent, { job, index, endpointIncarnation }: SentRun, reason: Reason): LeasedJobEnd | undefined {
    if (!LOSS_REASONS.has(reason)) return undefined
    const isCrash = CRASH_REASONS.has(reason)
    const hasBegun = reason !== REASONS.endpointCrashedAtStart
    this.remember(job, index, { incarnation: `${agentId}/${endpointIncarnation}`, agent: agentId, isCrash, hasBegun, at: this.now() })
    const task = job.tasks[index]!
    if (isCrash) task.avoidedAgents.add(agentId)
    const verdict = this.judge(job, index)
    task.isSuspect = verdict === 'suspect'
    if (verdict !== 'clear') this.onSuspect(job, index, this.incarnationsOf(job, index), verdict)
    return verdict === 'give_up' ? this.failureOf(job, index) : undefined
  }

  private remember (job: LeasedJob, index: number, loss: Loss): void {
    if (loss.isCrash) this.crashes.push({ at: loss.at, agent: loss.agent, job: job.key })
    const name = taskName(job, index)
    const losses = [...this.losses.get(name) ?? [], loss]
    // Deleted first, so that the map is ordered by latest loss.
    this.losses.delete(name)
    this.losses.set(name, losses)
    this.forget(loss.at - MEMORY_MS)
  }

  private forget (before: number): void {
    this.crashes = this.crashes.filter(({ at }) => at >= before).slice(-MAX_CRASHES)
    for (const [name, losses] of this.losses) {
      if (losses.at(-1)!.at >= before && this.losses.size <= MAX_TASKS) break
      this.losses.delete(name)
    }
  }

  private judge (job: LeasedJob, index: number): SuspectVerdict {
    const losses = this.losses.get(taskName(job, index)) ?? []
    return judgeSuspect(losses.map((loss) => ({ ...loss, others: this.othersAt(loss, job.key) })))
  }

  /** Number of agents whose endpoints crashed at about that time and ran no task of the job. */
  private othersAt ({ at }: Loss, job: string): number {
    const simultaneous = this.crashes.filter((crash) => Math.abs(crash.at - at) <= SAME_CAUSE_MS)
    const ownAgents = new Set(simultaneous.filter((crash) => crash.job === job).map(({ agent }) => agent))
    return new Set(simultaneous.map(({ agent }) => agent).filter((agent) => !ownAgents.has(agent))).size
  }

  private incarnationsOf (job: LeasedJob, index: number): string[] {
    const losses = this.losses.get(taskName(job, index)) ?? []
    return [...new Set(losses.map((loss) => loss.incarnation + LOSS_MARKS[certaintyOf(loss)]))]
  }

  private failureOf (job: LeasedJob, index: number): LeasedJobEnd {
    const losses = this.losses.get(taskName(job, index)) ?? []
    const what = losses.every((loss) => certaintyOf(loss) === 'crashed') ? 'endpoints crashed' : 'endpoints were lost'
    return { type: 'failed', reason: REASONS.taskCrashesEndpoints, message: `${what} under task ${index}: ${this.incarnationsOf(job, index).join(', ')}` }
  }
}
