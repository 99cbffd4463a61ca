import { judgeSuspect } from '@hazellift/decisions'
import type { LossView, SuspectVerdict } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import type { LeasedAgent, SentRun } from './leasedAgent.js'
import type { LeasedJob, LeasedJobEnd } from './leasedJob.js'

/** A life of an endpoint that was lost under a run. */
interface Loss extends Omit<LossView, 'others'> {
  at: number
}

/** A place whose endpoint crashed, and a job of which something ran there. */
interface Crash {
  at: number
  place: string
  job: string
}

/** Told of a task under which an endpoint crashed, and of what follows. */
export type OnSuspect = (job: LeasedJob, index: number, lives: string[], verdict: SuspectVerdict) => void

/** Crashes that lie no further apart may have one cause. */
const TOGETHER_MS = 1000
/** A job that is submitted again within this time is the same to us, whatever became of it. */
const MEMORY_MS = 60_000
const MAX_TASKS = 5000
const MAX_CRASHES = 2000

const LOSSES: ReadonlySet<Reason> = new Set([REASONS.endpointCrashed, REASONS.endpointReset])

const nameOf = (job: Pick<LeasedJob, 'key'>, index: number): string => `${job.key}/${index}`

/**
 * Tasks of one entry under which endpoints were lost. What is known of a task
 * outlasts its job here, as a caller whose connection broke sends it again.
 */
export class Suspects {
  private readonly losses = new Map<string, Loss[]>()
  private crashes: Crash[] = []

  constructor (private readonly now: () => number, private readonly onSuspect: OnSuspect) {}

  /** How a job ends of which a task was given up; undefined if none was. */
  endOf (job: LeasedJob): LeasedJobEnd | undefined {
    if (this.losses.size === 0) return undefined
    for (const index of job.tasks.keys()) {
      job.tasks[index]!.isSuspect = this.judge(job, index) === 'suspect'
      if (this.judge(job, index) === 'give_up') return this.giveUp(job, index)
    }
    return undefined
  }

  /**
   * A run failed.
   *
   * @returns how its job ends, if its task is not to be started again
   */
  onFailed ({ agentId }: LeasedAgent, { job, index, endpointIncarnation: life }: SentRun, reason: Reason): LeasedJobEnd | undefined {
    if (!LOSSES.has(reason)) return undefined
    const isCrash = reason === REASONS.endpointCrashed
    this.remember(job, index, { incarnation: `${agentId}/${life}`, agent: agentId, isCrash, at: this.now() })
    const task = job.tasks[index]!
    if (isCrash) task.avoidedAgents.add(agentId)
    const verdict = this.judge(job, index)
    task.isSuspect = verdict === 'suspect'
    if (verdict !== 'clear') this.onSuspect(job, index, this.livesOf(job, index), verdict)
    return verdict === 'give_up' ? this.giveUp(job, index) : undefined
  }

  private remember (job: LeasedJob, index: number, loss: Loss): void {
    if (loss.isCrash) this.crashes.push({ at: loss.at, place: loss.agent, job: job.key })
    const name = nameOf(job, index)
    const losses = [...this.losses.get(name) ?? [], loss]
    // Set anew, so that the map's order is that of the latest loss.
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
    const losses = this.losses.get(nameOf(job, index)) ?? []
    return judgeSuspect(losses.map((loss) => ({ ...loss, others: this.othersAt(loss, job.key) })))
  }

  /** Places whose endpoints crashed at that time, and where nothing of the job ran. */
  private othersAt ({ at }: Loss, job: string): number {
    const together = this.crashes.filter((crash) => Math.abs(crash.at - at) <= TOGETHER_MS)
    const ours = new Set(together.filter((crash) => crash.job === job).map(({ place }) => place))
    return new Set(together.map(({ place }) => place).filter((place) => !ours.has(place))).size
  }

  private livesOf (job: LeasedJob, index: number): string[] {
    const losses = this.losses.get(nameOf(job, index)) ?? []
    return [...new Set(losses.map(({ incarnation: life, isCrash }) => isCrash ? life : `${life} (silent)`))]
  }

  private giveUp (job: LeasedJob, index: number): LeasedJobEnd {
    return { type: 'failed', reason: REASONS.taskCrashesEndpoints, message: `endpoints crashed under task ${index}: ${this.livesOf(job, index).join(', ')}` }
  }
}
