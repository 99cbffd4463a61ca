import { submissionKey } from '../tasks/keys.js'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import type { Clock } from '@hazellift/common'
import type { JobDispatcher } from '../handoff/types.js'
import type { LeasedJob, LeasedJobEnd, LeasedJobSpec } from './leasedJob.js'

/** A caller's hold on a job. */
export interface Attachment {
  end: Promise<LeasedJobEnd>
  /** The caller is gone; without any caller left the job is stopped. */
  leave: () => void
}

/** Where a job stands, as its caller may ask. */
export type LeasedJobState = 'queued' | 'running' | LeasedJobEnd['type']

interface OpenJob {
  job: LeasedJob
  end: Promise<LeasedJobEnd>
  callers: number
}

interface Remembered {
  end: LeasedJobEnd
  at: number
}

/** How long an answer is given again to a submission that arrives once more, in ms. */
const ANSWER_WINDOW_MS = 10_000
/** Failures that another try would only repeat. */
const FINAL_FAILURES: ReadonlySet<Reason> = new Set([REASONS.taskFailed, REASONS.taskCrashesEndpoints])
const MAX_ANSWERS = 10_000

/**
 * Jobs that are not kept, by key. A submission that arrives again is the same
 * job while it runs here, and gets the same answer for some seconds. One that
 * was stopped may run again, but only when nothing of it runs any more.
 */
export class LeasedJobs {
  private readonly open = new Map<string, OpenJob>()
  private readonly answers = new Map<string, Remembered>()

  constructor (private readonly clock: Clock, private readonly dispatcher: JobDispatcher) {}

  /** Jobs that callers wait for. */
  get size (): number {
    return this.open.size
  }

  /** Submits a job, or attaches to it. */
  submit (spec: LeasedJobSpec): Attachment {
    const key = submissionKey(spec.workspace, spec.id)
    const remembered = this.answerOf(key)
    if (remembered !== undefined) return { end: Promise.resolve(remembered), leave: () => {} }
    const known = this.open.get(key)
    if (known !== undefined) return this.attach(known)
    const stopping = this.dispatcher.find(key)
    if (stopping !== undefined) return this.submitOnceOver(spec, stopping)
    return this.begin(spec, key)
  }

  /** Where a job stands; undefined if it is not known here. */
  stateOf (workspace: string, id: string): LeasedJobState | undefined {
    const key = submissionKey(workspace, id)
    const job = this.open.has(key) ? this.dispatcher.find(key) : undefined
    if (job !== undefined) return job.mayHaveRun > 0 ? 'running' : 'queued'
    return this.answerOf(key)?.type
  }

  /** Ends a job early. False if it is not known here. */
  cancel (workspace: string, id: string): boolean {
    const known = this.open.get(submissionKey(workspace, id))
    if (known === undefined) return false
    this.dispatcher.cancel(known.job, REASONS.cancelled, 'the caller cancelled the job')
    return true
  }

  /** Ends all that is open, for a stop whose grace time is over; gives the keys. */
  cutAll (): string[] {
    const keys = [...this.open.keys()]
    for (const { job } of [...this.open.values()]) this.dispatcher.cancel(job, REASONS.stopCut, 'the entry stopped before the job ended')
    return keys
  }

  private begin (spec: LeasedJobSpec, key: string): Attachment {
    let tell: (end: LeasedJobEnd) => void = () => {}
    const end = new Promise<LeasedJobEnd>((resolve) => { tell = resolve })
    const job = this.dispatcher.submit(spec, (value) => {
      this.open.delete(key)
      this.remember(key, value)
      tell(value)
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

  private submitOnceOver (spec: LeasedJobSpec, stopping: LeasedJob): Attachment {
    let hasLeft = false
    let attachment: Attachment | undefined
    const over = new Promise<void>((resolve) => {
      const before = stopping.onTerminated
      stopping.onTerminated = () => {
        before?.()
        resolve()
      }
    })
    const end = over.then((): Promise<LeasedJobEnd> => {
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

  /** Only what stays true is remembered: a refused or stopped job may be submitted again. */
  private remember (key: string, end: LeasedJobEnd): void {
    const isFinal = end.type === 'complete' || (end.type === 'failed' && FINAL_FAILURES.has(end.reason))
    if (!isFinal) return
    this.answers.delete(key)
    this.answers.set(key, { end, at: this.clock.now() })
    const oldest = this.clock.now() - ANSWER_WINDOW_MS
    for (const [other, { at }] of this.answers) {
      if (at >= oldest && this.answers.size <= MAX_ANSWERS) break
      this.answers.delete(other)
    }
  }

  private answerOf (key: string): LeasedJobEnd | undefined {
    const remembered = this.answers.get(key)
    const isFresh = remembered !== undefined && this.clock.now() - remembered.at <= ANSWER_WINDOW_MS
    return isFresh ? remembered.end : undefined
  }
}
