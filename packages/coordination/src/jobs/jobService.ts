import type { Clock } from '@hazellift/common'
import { REASONS, RUN_STATES } from '@hazellift/protocol'
import type { JobSpec } from '@hazellift/protocol'
import type { ClaimStore } from '../claims/claimStore.js'
import type { WorkspaceConfig } from '../config/configWatch.js'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import { submissionKey } from '../tasks/keys.js'
import type { Admission } from './admission.js'
import { bodyHash } from './bodyHash.js'
import { JobCanceller } from './jobCanceller.js'
import type { CancelRetryReason } from './jobCanceller.js'
import { JobStarter, STORE_RETRY_MS } from './jobStarter.js'
import type { AdmittedJob, BeginOutcome } from './jobStarter.js'
import { JobWaits } from './jobWaits.js'
import { OutageLookup } from './outageLookup.js'
import type { OwnedJobs } from './ownedJobs.js'
import { PeerAnswers } from './peerAnswers.js'
import type { PeerCalls } from './peerCalls.js'
import { refuse } from './replies.js'
import type { JobReply, Refusal } from './replies.js'

/** Dependencies and settings of the job service. */
export interface JobServiceOptions {
  clock: Clock
  claims: ClaimStore
  owned: OwnedJobs
  admission: Admission
  directory: EntryDirectory
  peers: PeerCalls
  entryId: string
  incarnation: string
  /** Longest wait for the table to write a claim. */
  claimTimeoutMs: number
  /** Deadline of a submission that sets none. */
  defaultDeadlineMs: number
  /** Longest run of a task at an agent. */
  leaseMs: number
  /** Time after which the row of an entry that does not renew it is stale. */
  staleAfterMs: number
  /** How long every entry remembers final answers. */
  answerWindowMs: number
  /** Called with the outcome of each claim: owned, existing, unavailable or taken_over. */
  observeClaim: (outcome: string) => void
  /** Called with the reason of each repeated request to end a job. */
  observeCancelRetry: (reason: CancelRetryReason) => void
  /** False while the table service is known not to answer. */
  isStoreUp: () => boolean
  /** False until every other entry knows this one. */
  mayClaim: () => boolean
}

/**
 * Share of `staleAfterMs` up to which a read of the entries counts as fresh. It
 * is below 1 because an entry that some others don't know yet claims nothing
 * until its row has existed for `staleAfterMs`: a fresh read includes every entry
 * that may claim.
 */
const FRESH_READ_SHARE = 0.75

/**
 * Submits, finds and cancels jobs for callers, whichever entry owns the jobs.
 */
export class JobService {
  /** Answers the questions of other entries about this entry's jobs. */
  readonly peerAnswers: PeerAnswers
  private readonly waits: JobWaits
  private readonly canceller: JobCanceller
  private readonly outageLookup: OutageLookup
  private readonly starter: JobStarter
  private stopping = false

  constructor (private readonly options: JobServiceOptions) {
    this.starter = new JobStarter(options)
    this.waits = new JobWaits({ ...options, starter: this.starter })
    this.canceller = new JobCanceller({
      ...options,
      observeRetry: options.observeCancelRetry,
      replyFromMemory: (key, until) => this.waits.replyFromMemory(key, undefined, until),
      follow: (claim, until) => this.waits.attach(claim, undefined, until)
    })
    this.peerAnswers = new PeerAnswers({
      owned: options.owned,
      incarnation: options.incarnation,
      afterClaiming: (key) => this.waits.afterClaiming(key),
      isReleased: (nonce) => this.starter.isReleased(nonce)
    })
    this.outageLookup = new OutageLookup({
      ...options,
      memoryMs: options.answerWindowMs,
      freshMs: options.staleAfterMs * FRESH_READ_SHARE,
      isMemoryWhole: () => options.owned.isMemoryWhole
    })
  }

  /** Number of claims being written and of jobs whose final state is not reached or not saved. */
  get size (): number {
    return this.waits.claimingCount + this.options.owned.size
  }

  /** Refuses new submissions from now on. */
  stop (): void {
    this.stopping = true
  }

  /**
   * Submits a job, or waits for it if it was submitted before.
   *
   * @param waitMs - how long to wait for the answer
   */
  async submit (config: WorkspaceConfig, spec: JobSpec, waitMs: number): Promise<JobReply> {
    const workspace = config.record.name
    const key = submissionKey(workspace, spec.id)
    const until = this.options.clock.now() + waitMs
    await this.waits.afterClaiming(key)
    const hash = bodyHash(spec)
    const local = await this.waits.replyFromMemory(key, hash, until)
    if (local !== undefined) return local
    const deadlineMs = spec.deadlineMs || this.options.defaultDeadlineMs
    const admitted = this.checkAdmission(config, spec, deadlineMs)
    if (admitted.type === 'refused') return this.refuseUnlessClaimed(workspace, spec, hash, until, admitted)
    const job: AdmittedJob = { workspace, spec, hash, decision: admitted.decision, deadlineMs }
    const outcome = await this.waits.whileClaiming(key, this.claim(job))
    if (outcome.type === 'refused') return this.refuseUnlessClaimed(workspace, spec, hash, until, outcome)
    if (outcome.type === 'local') return this.waits.waitForOwnJob(key, hash, until)
    return this.waits.attach(outcome.claim, hash, until, job)
  }

  /**
   * Waits for the answer of a job that was submitted before.
   *
   * @param waitMs - how long to wait for the answer
   */
  async ask (workspace: string, id: string, waitMs: number): Promise<JobReply> {
    const key = submissionKey(workspace, id)
    const until = this.options.clock.now() + waitMs
    await this.waits.afterClaiming(key)
    const local = await this.waits.replyFromMemory(key, undefined, until)
    if (local !== undefined) return local
    const claim = await this.options.claims.read(workspace, id)
    if (!claim.ok) return this.askDuringOutage(workspace, id, until)
    if (claim.value === undefined) return refuse(REASONS.notFound, 'no such job', RUN_STATES.notRun)
    return this.waits.attach(claim.value, undefined, until)
  }

  /** Cancels a job. The reply is its final answer, which is another one if the job had finished before. */
  async cancel (workspace: string, id: string): Promise<JobReply> {
    await this.waits.afterClaiming(submissionKey(workspace, id))
    return this.canceller.cancel(workspace, id)
  }

  private checkAdmission (config: WorkspaceConfig, spec: JobSpec, deadlineMs: number): ReturnType<Admission['check']> {
    if (this.stopping) return refuse(REASONS.stopping, 'this entry is stopping', RUN_STATES.notRun, STORE_RETRY_MS)
    if (!this.options.mayClaim()) return refuse(REASONS.notReady, 'this entry is not known to the others yet', RUN_STATES.notRun, STORE_RETRY_MS)
    if (!this.options.isStoreUp()) return refuse(REASONS.storeDown, 'the table service does not answer', RUN_STATES.notRun, STORE_RETRY_MS)
    return this.options.admission.check(config, spec, deadlineMs)
  }

  private async claim (job: AdmittedJob): Promise<BeginOutcome> {
    const release = this.options.admission.reserve(job.workspace, job.spec.tasks.length)
    try {
      return await this.starter.claim(job)
    } finally {
      release()
    }
  }

  /**
   * Replies with a refusal unless the submission is claimed: a claimed one may
   * have run, so the claim is followed instead. If the claim cannot be read, a
   * resubmission is looked up at the other entries first.
   */
  private async refuseUnlessClaimed (workspace: string, { id, firstAttempt }: JobSpec, hash: Uint8Array, until: number, refusal: Refusal): Promise<JobReply> {
    const claim = this.options.isStoreUp() ? await this.options.claims.read(workspace, id) : undefined
    if (claim?.ok === true && claim.value !== undefined && !this.starter.isReleased(claim.value.record.nonce)) {
      return this.waits.attach(claim.value, hash, until)
    }
    if (claim?.ok === true || firstAttempt) return refusal
    const waitMs = Math.max(0, until - this.options.clock.now())
    const finding = await this.outageLookup.find(workspace, id, hash, waitMs)
    return finding.type === 'reply' ? finding.reply : { ...refusal, run: finding.run }
  }

  private async askDuringOutage (workspace: string, id: string, until: number): Promise<JobReply> {
    const waitMs = Math.max(0, until - this.options.clock.now())
    const finding = await this.outageLookup.find(workspace, id, undefined, waitMs)
    if (finding.type === 'reply') return finding.reply
    return refuse(REASONS.storeDown, 'the table service does not answer', finding.run, STORE_RETRY_MS)
  }
}
