import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import { submissionKey } from '../tasks/keys.js'
import { Callers, CALLER_GONE_MESSAGE } from './callers.js'
import type { Attachment } from './callers.js'
import type { LeasedJob, LeasedJobEnd, LeasedJobSpec } from './leasedJob.js'

interface ResubmittedJob {
  callers: Callers
  /** Ends the job, with an end of its own or that of its submission. */
  resolve: (end: LeasedJobEnd | Promise<LeasedJobEnd>) => void
  /** Set once the job was submitted. */
  submitted: Attachment | undefined
}

/**
 * Jobs that were submitted again while runs of the earlier submission were not
 * confirmed terminated. They are submitted once those are, unless they were ended or
 * abandoned by their callers before.
 */
export class ResubmittedJobs {
  private readonly jobs = new Map<string, ResubmittedJob>()

  /**
   * @param submit - submits a job whose earlier runs were confirmed terminated
   */
  constructor (private readonly submit: (spec: LeasedJobSpec) => Attachment) {}

  /** Keys of the jobs that wait. */
  get keys (): string[] {
    return [...this.jobs.keys()]
  }

  /** Number of jobs that wait. */
  get size (): number {
    return this.jobs.size
  }

  /** True while the job waits. */
  has (key: string): boolean {
    return this.jobs.has(key)
  }

  /** Adds a caller to a job that waits; undefined if it does not. */
  attach (key: string): Attachment | undefined {
    return this.jobs.get(key)?.callers.attach()
  }

  /** Adds a job that waits until the runs of an earlier one are confirmed terminated. */
  add (spec: LeasedJobSpec, stoppingJob: LeasedJob): Attachment {
    const key = submissionKey(spec.workspace, spec.id)
    let resolve: ResubmittedJob['resolve'] = () => {}
    const end = new Promise<LeasedJobEnd>((_resolve) => { resolve = _resolve })
    const job: ResubmittedJob = { callers: new Callers(end, () => this.onAbandoned(key, job)), resolve, submitted: undefined }
    this.jobs.set(key, job)
    const previous = stoppingJob.onTerminated
    stoppingJob.onTerminated = () => {
      previous?.()
      // Not at once: the dispatcher has not finished with the earlier job.
      queueMicrotask(() => this.onTerminated(spec, key, job))
    }
    return job.callers.attach()
  }

  /**
   * Ends a job that waits; it is not submitted.
   *
   * @returns false if it does not wait
   */
  end (key: string, reason: Reason, message: string): boolean {
    const job = this.jobs.get(key)
    if (job === undefined) return false
    this.jobs.delete(key)
    job.resolve({ type: 'failed', reason, message })
    return true
  }

  private onTerminated (spec: LeasedJobSpec, key: string, job: ResubmittedJob): void {
    if (this.jobs.get(key) !== job) return
    this.jobs.delete(key)
    job.submitted = this.submit(spec)
    job.resolve(job.submitted.end)
  }

  private onAbandoned (key: string, job: ResubmittedJob): void {
    if (job.submitted !== undefined) job.submitted.leave()
    else if (this.jobs.get(key) === job) this.end(key, REASONS.callerGone, CALLER_GONE_MESSAGE)
  }
}
