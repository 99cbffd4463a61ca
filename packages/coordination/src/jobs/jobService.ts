import type { Clock } from '@hazellift/common'
import { REASONS, RUN_STATES } from '@hazellift/protocol'
import type { JobSpec } from '@hazellift/protocol'
import type { Claim } from '../claims/claimRows.js'
import type { ClaimStore } from '../claims/claimStore.js'
import type { WorkspaceConfig } from '../config/configWatch.js'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import { submissionKey } from '../tasks/keys.js'
import type { Admission } from './admission.js'
import { ClaimFollower } from './claimFollower.js'
import { bodyHash, isSameBody } from './bodyHash.js'
import { JobCanceller } from './jobCanceller.js'
import type { CancelRetryReason } from './jobCanceller.js'
import { JobStarter, STORE_RETRY_MS } from './jobStarter.js'
import type { AdmittedJob, BeginOutcome } from './jobStarter.js'
import { OutageLookup } from './outageLookup.js'
import type { OwnedJobs } from './ownedJobs.js'
import { PeerAnswers } from './peerAnswers.js'
import type { PeerCalls } from './peerCalls.js'
import { refuse, refuseConflict } from './replies.js'
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

const UNSAVED_RETRY_MS = 1000
/**
 * Share of `staleAfterMs` up to which a read of the entries counts as fresh. It
 * is below 1 because an entry that some others don't know yet claims nothing
 * until its row has existed for `staleAfterMs`: a fresh read includes every entry
 * that may claim.
 */
const FRESH_READ_SHARE = 0.75

const unsavedReply: JobReply = refuse(REASONS.answerUnsaved,
  'the job is over, but its final state is not saved yet; ask again', RUN_STATES.mayHaveRun, UNSAVED_RETRY_MS)

/**
 * Submits, finds and cancels jobs for callers, whichever entry owns the jobs.
 */
export class JobService {
  /** Answers the questions of other entries about this entry's jobs. */
  readonly peerAnswers: PeerAnswers
  private readonly claimFollower: ClaimFollower
  private readonly canceller: JobCanceller
  private readonly outageLookup: OutageLookup
  /** Claims that are being written at this entry, by submission key. */
  private readonly claiming = new Map<string, Promise<unknown>>()
  private readonly starter: JobStarter
  private stopping = false

  constructor (private readonly options: JobServiceOptions) {
    this.claimFollower = new ClaimFollower({ ...options, ownClaimState: (claim) => this.ownClaimState(claim) })
    this.starter = new JobStarter(options)
    this.canceller = new JobCanceller({
      ...options,
      observeRetry: options.observeCancelRetry,
      replyFromMemory: (key, until) => this.replyFromMemory(key, undefined, until),
      follow: (claim, until) => this.attach(claim, undefined, until)
    })
    this.peerAnswers = new PeerAnswers({
      owned: options.owned,
      incarnation: options.incarnation,
      afterClaiming: async (key) => this.claiming.get(key),
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
    return this.claiming.size + this.options.owned.size
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
    await this.claiming.get(key)
    const hash = bodyHash(spec)
    const local = await this.replyFromMemory(key, hash, until)
    if (local !== undefined) return local
    const deadlineMs = spec.deadlineMs || this.options.defaultDeadlineMs
    const admitted = this.checkAdmission(config, spec, deadlineMs)
    if (admitted.type === 'refused') return this.refuseUnlessClaimed(workspace, spec, hash, until, admitted)
    const job: AdmittedJob = { workspace, spec, hash, decision: admitted.decision, deadlineMs }
    const outcome = await this.whileClaiming(key, this.claim(job))
    if (outcome.type === 'refused') return this.refuseUnlessClaimed(workspace, spec, hash, until, outcome)
    if (outcome.type === 'local') return this.waitForOwnJob(key, hash, until)
    return this.attach(outcome.claim, hash, until, job)
  }

  /**
   * Waits for the answer of a job that was submitted before.
   *
   * @param waitMs - how long to wait for the answer
   */
  async ask (workspace: string, id: string, waitMs: number): Promise<JobReply> {
    const key = submissionKey(workspace, id)
    const until = this.options.clock.now() + waitMs
    await this.claiming.get(key)
    const local = await this.replyFromMemory(key, undefined, until)
    if (local !== undefined) return local
    const claim = await this.options.claims.read(workspace, id)
    if (!claim.ok) return this.askDuringOutage(workspace, id, until)
    if (claim.value === undefined) return refuse(REASONS.notFound, 'no such job', RUN_STATES.notRun)
    return this.attach(claim.value, undefined, until)
  }

  /** Cancels a job. The reply is its final answer, which is another one if the job had finished before. */
  async cancel (workspace: string, id: string): Promise<JobReply> {
    await this.claiming.get(submissionKey(workspace, id))
    return this.canceller.cancel(workspace, id)
  }

  private checkAdmission (config: WorkspaceConfig, spec: JobSpec, deadlineMs: number): ReturnType<Admission['check']> {
    if (this.stopping) return refuse(REASONS.stopping, 'this entry is stopping', RUN_STATES.notRun, STORE_RETRY_MS)
    if (!this.options.mayClaim()) return refuse(REASONS.notReady, 'this entry is not known to the others yet', RUN_STATES.notRun, STORE_RETRY_MS)
    if (!this.options.isStoreUp()) return refuse(REASONS.storeDown, 'the table service does not answer', RUN_STATES.notRun, STORE_RETRY_MS)
    return this.options.admission.check(config, spec, deadlineMs)
  }

  private async whileClaiming<T> (key: string, claiming: Promise<T>): Promise<T> {
    this.claiming.set(key, claiming)
    try {
      return await claiming
    } finally {
      this.claiming.delete(key)
    }
  }

  private async claim (job: AdmittedJob): Promise<BeginOutcome> {
    const release = this.options.admission.reserve(job.workspace, job.spec.tasks.length)
    try {
      return await this.starter.claim(job)
    } finally {
      release()
    }
  }

  /** Replies from this entry's memory; `undefined` if it does not know the job. */
  private async replyFromMemory (key: string, hash: Uint8Array | undefined, until: number): Promise<JobReply | undefined> {
    const known = this.options.owned.claimOf(key)?.record ?? this.options.owned.answerOf(key)
    return known === undefined ? undefined : this.waitForOwnJob(key, hash, until)
  }

  private async waitForOwnJob (key: string, hash: Uint8Array | undefined, until: number): Promise<JobReply> {
    const { owned, clock } = this.options
    const knownHash = owned.claimOf(key)?.record.bodyHash ?? owned.answerOf(key)?.bodyHash
    if (hash !== undefined && knownHash !== undefined && !isSameBody(knownHash, hash)) return refuseConflict()
    const remembered = owned.answerOf(key)
    if (remembered !== undefined) return { type: 'answer', answer: remembered.answer }
    const update = await owned.wait(key, Math.max(0, until - clock.now()))
    switch (update.type) {
      case 'answer': return update
      case 'pending': return update
      case 'unsaved': return unsavedReply
      case 'moved': return this.followNewOwner(key, until)
    }
  }

  private async followNewOwner (key: string, until: number): Promise<JobReply> {
    const [workspace, id] = key.split('/') as [string, string]
    const claim = await this.claimFollower.read(workspace, id, until)
    if (!claim.ok) return refuse(REASONS.storeDown, claim.err.message, RUN_STATES.mayHaveRun, STORE_RETRY_MS)
    if (claim.value === undefined) return refuse(REASONS.notFound, 'the job has expired', RUN_STATES.mayHaveRun)
    return this.attach(claim.value, undefined, until)
  }

  /**
   * Follows a claim, and takes it over if its owner is lost or has released it.
   *
   * @param hash - hash of the body submitted, `undefined` if any body is accepted
   * @param admitted - the submission, if this entry may run it
   */
  private async attach (claim: Claim, hash: Uint8Array | undefined, until: number, admitted?: AdmittedJob): Promise<JobReply> {
    const step = await this.claimFollower.follow(claim, hash, until)
    const key = submissionKey(claim.record.workspace, claim.record.submission)
    switch (step.type) {
      case 'reply': return step.reply
      case 'local': return this.waitForOwnJob(key, hash, until)
      case 'absent': return refuse(REASONS.notFound, 'the job has expired', RUN_STATES.mayHaveRun)
      case 'lost': return this.takeOver(step.claim, hash, until, undefined)
      case 'released': return admitted === undefined
        ? refuse(REASONS.storeDown, 'the submission was refused and not run; submit it again', RUN_STATES.notRun)
        : this.takeOver(step.claim, hash, until, admitted)
    }
  }

  private async takeOver (claim: Claim, hash: Uint8Array | undefined, until: number, admitted: AdmittedJob | undefined): Promise<JobReply> {
    const { workspace, submission } = claim.record
    const key = submissionKey(workspace, submission)
    // Another request at this entry may be taking the same claim over.
    const inProgress = this.claiming.get(key)
    if (inProgress !== undefined) {
      await inProgress
      return this.waitForOwnJob(key, hash, until)
    }
    const begun = admitted === undefined ? this.starter.collect(claim) : this.starter.runReleased(claim, admitted)
    const outcome = await this.whileClaiming(key, begun)
    if (outcome.type === 'refused') return outcome
    if (outcome.type === 'local') return this.waitForOwnJob(key, hash, until)
    return this.attach(outcome.claim, hash, until, admitted)
  }

  /**
   * Replies with a refusal unless the submission is claimed: a claimed one may
   * have run, so the claim is followed instead. If the claim cannot be read, a
   * resubmission is looked up at the other entries first.
   */
  private async refuseUnlessClaimed (workspace: string, { id, firstAttempt }: JobSpec, hash: Uint8Array, until: number, refusal: Refusal): Promise<JobReply> {
    const claim = this.options.isStoreUp() ? await this.options.claims.read(workspace, id) : undefined
    if (claim?.ok === true && claim.value !== undefined && !this.starter.isReleased(claim.value.record.nonce)) {
      return this.attach(claim.value, hash, until)
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

  private ownClaimState (claim: Claim): 'local' | 'released' | 'lost' {
    const { workspace, submission, nonce } = claim.record
    const key = submissionKey(workspace, submission)
    const isLocal = this.options.owned.claimOf(key) !== undefined || this.options.owned.answerOf(key) !== undefined
    if (isLocal) return 'local'
    return this.starter.isReleased(nonce) ? 'released' : 'lost'
  }
}
