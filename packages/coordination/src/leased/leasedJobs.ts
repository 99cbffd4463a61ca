import { submissionKey } from '../tasks/keys.js'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import type { Clock } from '@hazellift/common'
import type { JobDispatcher } from '../handoff/types.js'
import type { LeasedJob, LeasedJobEnd, LeasedJobSpec } from './leasedJob.js'

/** A caller's wait for a job. */
export interface Attachment {
  /** Resolves when the job ends. */
  end: Promise<LeasedJobEnd>
  /** To be called when the caller stops waiting. The job is cancelled when no caller remains. */
  leave: () => void
}

/** State of a job as reported to its caller. */
export type LeasedJobState = 'queued' | 'running' | LeasedJobEnd['type']

interface OpenJob {
  job: LeasedJob
  end: Promise<LeasedJobEnd>
  callers: number
}

interface RecentAnswer {
  end: LeasedJobEnd
  at: number
}

/** How long a repeated submission gets the answer of the first one, in ms. */
const ANSWER_WINDOW_MS = 10_000
/** Failures that a new attempt is expected to repeat. */
const FINAL_FAILURES: ReadonlySet<Reason> = new Set([REASONS.taskFailed, REASONS.taskCrashesEndpoints])
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
  private readonly recentAnswers = new Map<string, RecentAnswer>()

  constructor (private readonly clock: Clock, private readonly dispatcher: JobDispatcher) {}

  /** Number of open jobs. */
  get size (): number {
    return this.open.size
  }

  /** Submits a job, or attaches to it if it is known. */
  submit (spec: LeasedJobSpec): Attachment {
    const key = submissionKey(spec.workspace, spec.id)
    const recent = this.answerOf(key)
    if (recent !== undefined) return { end: Promise.resolve(recent), leave: () => {} }
    const known = this.open.get(key)
    if (known !== undefined) return this.attach(known)
    const stoppingJob = this.dispatcher.find(key)
    if (stoppingJob !== undefined) return this.submitOnceTerminated(spec, stoppingJob)
    return this.begin(spec, key)
  }

  /** State of a job; undefined if it is not known here. */
  stateOf (workspace: string, id: string): LeasedJobState | undefined {
    const key = submissionKey(workspace, id)
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
    const known = this.open.get(submissionKey(workspace, id))
    if (known === undefined) return false
    this.dispatcher.cancel(known.job, REASONS.cancelled, 'the caller cancelled the job')
    return true
  }

  /**
   * Ends all open jobs, when the entry stops and its grace time is over.
   *
   * @returns keys of the jobs
   */
  cutAll (): string[] {
    const keys = [...this.open.keys()]
    for (const { job } of [...this.open.values()]) this.dispatcher.cancel(job, REASONS.stopCut, 'the entry stopped before the job ended')
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
    const open = { job, end, callers: 0 }
    if (job.end === undefined) this.open.set(key, open)
    return this.attach(open)
  }

  private attach (open: OpenJob): Attachment {
    open.callers++
    let hasLeft = false
    return {
      end: open.end,
      leave: () => {
        if (hasLeft) return
        hasLeft = true
        open.callers--
        if (open.callers === 0) this.dispatcher.cancel(open.job, REASONS.callerGone, 'the caller has gone')
      }
    }
  }

  private submitOnceTerminated (spec: LeasedJobSpec, stoppingJob: LeasedJob): Attachment {
    let hasLeft = false
    let attachment: Attachment | undefined
    const terminated = new Promise<void>((resolve) => {
      const previous = stoppingJob.onTerminated
      stoppingJob.onTerminated = () => {
        previous?.()
        resolve()
      }
    })
    const end = terminated.then((): Promise<LeasedJobEnd> => {
      attachment = this.submit(spec)
      if (hasLeft) attachment.leave()
      return attachment.end
    })
    return {
      end,
      leave: () => {
        hasLeft = true
        attachment?.leave()
      }
    }
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
