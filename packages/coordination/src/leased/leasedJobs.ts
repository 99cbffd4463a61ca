import { submissionKey } from '../tasks/keys.js'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import type { Clock } from '@hazellift/common'
import type { JobDispatcher } from '../handoff/types.js'
import { Callers, CALLER_GONE_MESSAGE } from './callers.js'
import type { Attachment } from './callers.js'
import type { LeasedJob, LeasedJobEnd, LeasedJobSpec } from './leasedJob.js'
import { ResubmittedJobs } from './resubmittedJobs.js'

/** State of a job as reported to its caller. */
export type LeasedJobState = 'queued' | 'running' | LeasedJobEnd['type']

interface OpenJob {
  job: LeasedJob
  callers: Callers
}

interface RecentAnswer {
  end: LeasedJobEnd
  at: number
}

/** How long a repeated submission gets the answer of the first one, in ms. */
const ANSWER_WINDOW_MS = 10_000
/** Failures that a new attempt is expected to repeat. */
const FINAL_FAILURES: ReadonlySet<Reason> = new Set([REASONS.taskFailed, REASONS.taskCrashesEndpoints])
const CANCELLED_MESSAGE = 'the caller cancelled the job'
const STOP_CUT_MESSAGE = 'the entry stopped before the job ended'
/** Largest number of answers that are remembered, to bound memory. */
const MAX_ANSWERS = 10_000

/**
 * Ephemeral jobs by key, and the callers that wait for them. A repeated submission
 * attaches to the job while it is open, and gets its answer for some seconds
 * afterwards. A job that was stopped may be submitted again, but starts only once all
 * its earlier runs are confirmed terminated.
 */
export class LeasedJobs {
  private readonly open = new Map<string, OpenJob>()
  private readonly resubmitted = new ResubmittedJobs((spec) => this.submit(spec))
  private readonly recentAnswers = new Map<string, RecentAnswer>()

  constructor (private readonly clock: Clock, private readonly dispatcher: JobDispatcher) {}

  /** Number of open jobs, with those that wait until their earlier runs are confirmed terminated. */
  get size (): number {
    return this.open.size + this.resubmitted.size
  }

  /** Submits a job, or attaches to it if it is known. */
  submit (spec: LeasedJobSpec): Attachment {
    const key = submissionKey(spec.workspace, spec.id)
    const recent = this.answerOf(key)
    if (recent !== undefined) return { end: Promise.resolve(recent), leave: () => {} }
    const known = this.open.get(key)?.callers.attach() ?? this.resubmitted.attach(key)
    if (known !== undefined) return known
    const stoppingJob = this.dispatcher.find(key)
    if (stoppingJob !== undefined) return this.resubmitted.add(spec, stoppingJob)
    return this.begin(spec, key)
  }

  /** State of a job; undefined if it is not known here. */
  stateOf (workspace: string, id: string): LeasedJobState | undefined {
    const key = submissionKey(workspace, id)
    if (this.resubmitted.has(key)) return 'queued'
    const job = this.open.has(key) ? this.dispatcher.find(key) : undefined
    if (job !== undefined) return job.mayHaveRun > 0 ? 'running' : 'queued'
    return this.answerOf(key)?.type
  }

  /**
   * Ends a job early.
   *
   * @returns false if it is not open here
   */
  cancel (workspace: string, id: string): boolean {
    const key = submissionKey(workspace, id)
    const known = this.open.get(key)
    if (known === undefined) return this.resubmitted.end(key, REASONS.cancelled, CANCELLED_MESSAGE)
    this.dispatcher.cancel(known.job, REASONS.cancelled, CANCELLED_MESSAGE)
    return true
  }

  /**
   * Ends all open jobs, when the entry stops and its grace time is over.
   *
   * @returns keys of the jobs
   */
  cutAll (): string[] {
    const waitingKeys = this.resubmitted.keys
    const keys = [...this.open.keys(), ...waitingKeys]
    for (const { job } of [...this.open.values()]) this.dispatcher.cancel(job, REASONS.stopCut, STOP_CUT_MESSAGE)
    for (const key of waitingKeys) this.resubmitted.end(key, REASONS.stopCut, STOP_CUT_MESSAGE)
    return keys
  }

  private begin (spec: LeasedJobSpec, key: string): Attachment {
    let resolveEnd: (end: LeasedJobEnd) => void = () => {}
    const end = new Promise<LeasedJobEnd>((resolve) => { resolveEnd = resolve })
    const job = this.dispatcher.submit(spec, (value) => {
      this.open.delete(key)
      this.remember(key, value)
      resolveEnd(value)
    })
    const callers = new Callers(end, () => this.dispatcher.cancel(job, REASONS.callerGone, CALLER_GONE_MESSAGE))
    if (job.end === undefined) this.open.set(key, { job, callers })
    return callers.attach()
  }

  /** Remembers only final answers: a refused or stopped job may be submitted again. */
  private remember (key: string, end: LeasedJobEnd): void {
    const isFinal = end.type === 'complete' || (end.type === 'failed' && FINAL_FAILURES.has(end.reason))
    if (!isFinal) return
    this.recentAnswers.delete(key)
    this.recentAnswers.set(key, { end, at: this.clock.now() })
    const cutoff = this.clock.now() - ANSWER_WINDOW_MS
    for (const [other, { at }] of this.recentAnswers) {
      if (at >= cutoff && this.recentAnswers.size <= MAX_ANSWERS) break
      this.recentAnswers.delete(other)
    }
  }

  private answerOf (key: string): LeasedJobEnd | undefined {
    const recent = this.recentAnswers.get(key)
    const isFresh = recent !== undefined && this.clock.now() - recent.at <= ANSWER_WINDOW_MS
    return isFresh ? recent.end : undefined
  }
}
