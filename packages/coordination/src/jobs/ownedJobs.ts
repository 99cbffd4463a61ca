import type { Clock } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import type { JobAnswer, Reason } from '@hazellift/protocol'
import type { Claim } from '../claims/claimRows.js'
import type { ClaimStore } from '../claims/claimStore.js'
import type { Dispatcher } from '../dispatch/dispatcher.js'
import { AnswerWindow } from './answerWindow.js'
import type { AnswerWindowOptions, RememberedAnswer } from './answerWindow.js'
import type { Job } from './job.js'
import { completeAnswer, failedAnswer } from './replies.js'

/** News of a job for those who wait for it. */
export type JobUpdate =
  | { type: 'answer', answer: JobAnswer }
  /** The final state could not be saved yet, so it must not be told yet. */
  | { type: 'unsaved' }
  /** Another entry owns the claim now. */
  | { type: 'moved' }
  | { type: 'pending' }

/** What owned jobs need. */
export interface OwnedJobsOptions extends AnswerWindowOptions {
  clock: Clock
  claims: Pick<ClaimStore, 'finish'>
  dispatcher: () => Pick<Dispatcher, 'add' | 'collect' | 'drop' | 'release'>
  /** Longest wait for one attempt to save a final state, in ms. */
  saveTimeoutMs: number
  /** Told of every final answer. */
  onAnswer: (job: Job, answer: JobAnswer) => void
}

interface OwnedJob {
  job: Job
  claim: Claim
  waiters: Set<(news: JobUpdate) => void>
  cancelDeadline: () => void
}

/**
 * Jobs that this entry owns, from their claim to their final answer.
 *
 * Invariant: the final state of an unrepeatable job is committed to its claim
 * row before anybody is told, so that every later answer is the same.
 */
export class OwnedJobs {
  private readonly open = new Map<string, OwnedJob>()
  private readonly answers: AnswerWindow
  private saving = 0

  constructor (private readonly options: OwnedJobsOptions) {
    this.answers = new AnswerWindow(options)
  }

  /** Jobs whose answer is not final, and finished ones whose state is not saved yet. */
  get size (): number {
    return this.open.size + this.saving
  }

  /** Jobs whose answer is not final. */
  get openKeys (): string[] {
    return [...this.open.keys()]
  }

  /** Starts the tasks of a job under a claim that this entry owns. */
  start (job: Job, claim: Claim): void {
    this.adopt(job, claim)
    this.options.dispatcher().add(job)
  }

  /** Collects what agents know of a job under a claim taken over. */
  collect (job: Job, claim: Claim): void {
    this.adopt(job, claim)
    this.options.dispatcher().collect(job, claim.record.deadlineMs)
  }

  /** The claim of an open job. */
  claimOf (key: string): Claim | undefined {
    return this.open.get(key)?.claim
  }

  /** The answer of a finished job, while it is remembered. */
  answerOf (key: string): RememberedAnswer | undefined {
    return this.answers.find(key)
  }

  /** True if every answer younger than the window is remembered. */
  get isMemoryWhole (): boolean {
    return this.answers.isWhole
  }

  /** Forgets answers that are old. */
  trim (): void {
    this.answers.trim()
  }

  /** Waits for news of an open job. */
  wait (key: string, waitMs: number): Promise<JobUpdate> {
    const owned = this.open.get(key)
    if (owned === undefined) return Promise.resolve({ type: 'moved' })
    return new Promise((resolve) => {
      const onUpdate = (update: JobUpdate) => {
        owned.waiters.delete(onUpdate)
        cancelTimer()
        resolve(update)
      }
      const cancelTimer = this.options.clock.after(waitMs, () => onUpdate({ type: 'pending' }))
      owned.waiters.add(onUpdate)
    })
  }

  /** All tasks of a job are done. */
  complete (job: Job): void {
    void this.finish(job, completeAnswer(job))
  }

  /** The job cannot complete. What still runs of it is aborted. */
  fail (job: Job, reason: Reason, message: string): void {
    const answer = failedAnswer(job, reason, message)
    this.options.dispatcher().drop(job)
    void this.finish(job, answer)
  }

  /** Fails an open job by its key. */
  failByKey (key: string, reason: Reason, message: string): void {
    const owned = this.open.get(key)
    if (owned !== undefined && owned.job.answer === undefined) this.fail(owned.job, reason, message)
  }

  /** Another entry owns the claim: whoever waits must ask there. */
  onMoved (job: Job): void {
    const owned = this.open.get(job.key)
    if (owned === undefined || owned.job !== job) return
    this.options.dispatcher().release(job)
    this.close(owned)
    notifyWaiters(owned, { type: 'moved' })
  }

  private adopt (job: Job, claim: Claim): void {
    const waitMs = Math.max(0, job.deadlineAt - this.options.clock.now())
    const cancelDeadline = this.options.clock.after(waitMs, () =>
      this.failByKey(job.key, REASONS.deadline, 'the deadline passed'))
    this.open.set(job.key, { job, claim, waiters: new Set(), cancelDeadline })
  }

  private close (owned: OwnedJob): void {
    owned.cancelDeadline()
    this.open.delete(owned.job.key)
  }

  private async finish (job: Job, answer: JobAnswer): Promise<void> {
    const owned = this.open.get(job.key)
    if (owned === undefined || job.answer !== undefined) return
    job.answer = answer
    owned.cancelDeadline()
    if (!job.unrepeatable) this.publish(owned, answer)
    this.saving++
    const isOwner = await this.save(owned, answer)
    this.saving--
    if (!job.unrepeatable) return
    if (isOwner) this.publish(owned, answer)
    else this.onMoved(job)
  }

  private publish (owned: OwnedJob, answer: JobAnswer): void {
    const { record } = owned.claim
    this.answers.add(owned.job.key, { answer, bodyHash: record.bodyHash, nonce: record.nonce })
    this.close(owned)
    this.options.onAnswer(owned.job, answer)
    notifyWaiters(owned, { type: 'answer', answer })
  }

  /** Writes the final state for as long as it takes; false if the claim is another entry's now. */
  private async save (owned: OwnedJob, answer: JobAnswer): Promise<boolean> {
    const { claims, clock, saveTimeoutMs } = this.options
    while (true) {
      const outcome = await claims.finish(owned.claim, answer, clock.now() + saveTimeoutMs)
      if (outcome.type !== 'unavailable') return outcome.type === 'committed'
      if (owned.job.unrepeatable) notifyWaiters(owned, { type: 'unsaved' })
      await clock.sleep(saveTimeoutMs / 2)
    }
  }
}

const notifyWaiters = (owned: OwnedJob, update: JobUpdate): void => {
  for (const onUpdate of [...owned.waiters]) onUpdate(update)
}
