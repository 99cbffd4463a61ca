import type { Clock } from '@hazellift/common'
import { REASONS, RUN_STATES } from '@hazellift/protocol'
import type { Claim } from '../claims/claimRows.js'
import { submissionKey } from '../tasks/keys.js'
import { isSameBody } from './bodyHash.js'
import { ClaimFollower } from './claimFollower.js'
import type { ClaimFollowerOptions } from './claimFollower.js'
import { STORE_RETRY_MS } from './jobStarter.js'
import type { AdmittedJob, JobStarter } from './jobStarter.js'
import type { OwnedJobs } from './ownedJobs.js'
import { refuse, refuseConflict } from './replies.js'
import type { JobReply } from './replies.js'

/** Dependencies and settings of waits for jobs. */
export interface JobWaitsOptions extends Omit<ClaimFollowerOptions, 'ownClaimState'> {
  clock: Clock
  owned: OwnedJobs
  starter: JobStarter
}

const UNSAVED_RETRY_MS = 1000

const unsavedReply: JobReply = refuse(REASONS.answerUnsaved,
  'the job is over, but its final state is not saved yet; ask again', RUN_STATES.mayHaveRun, UNSAVED_RETRY_MS)

/**
 * Waits for the answers of submitted jobs, here or at the entry that owns them, and takes
 * over the claims of lost owners. A submission is claimed by one request at a time.
 */
export class JobWaits {
  private readonly claimFollower: ClaimFollower
  /** Claims that are being written at this entry, by submission key. */
  private readonly claiming = new Map<string, Promise<unknown>>()

  constructor (private readonly options: JobWaitsOptions) {
    this.claimFollower = new ClaimFollower({ ...options, ownClaimState: (claim) => this.ownClaimState(claim) })
  }

  /** Number of claims that are being written. */
  get claimingCount (): number {
    return this.claiming.size
  }

  /** Resolves once no claim of the submission is being written here. */
  async afterClaiming (key: string): Promise<void> {
    await this.claiming.get(key)
  }

  /** Makes other requests for the submission wait while a claim of it is written. */
  async whileClaiming<T> (key: string, claiming: Promise<T>): Promise<T> {
    this.claiming.set(key, claiming)
    try {
      return await claiming
    } finally {
      this.claiming.delete(key)
    }
  }

  /** Replies from this entry's memory; `undefined` if it does not know the job. */
  async replyFromMemory (key: string, hash: Uint8Array | undefined, until: number): Promise<JobReply | undefined> {
    const known = this.options.owned.claimOf(key)?.record ?? this.options.owned.answerOf(key)
    return known === undefined ? undefined : this.waitForOwnJob(key, hash, until)
  }

  /** Waits for the end of a job that this entry owns. */
  async waitForOwnJob (key: string, hash: Uint8Array | undefined, until: number): Promise<JobReply> {
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
  async attach (claim: Claim, hash: Uint8Array | undefined, until: number, admitted?: AdmittedJob): Promise<JobReply> {
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
    const begun = admitted === undefined ? this.options.starter.collect(claim) : this.options.starter.runReleased(claim, admitted)
    const outcome = await this.whileClaiming(key, begun)
    if (outcome.type === 'refused') return outcome
    if (outcome.type === 'local') return this.waitForOwnJob(key, hash, until)
    return this.attach(outcome.claim, hash, until, admitted)
  }

  private ownClaimState (claim: Claim): 'local' | 'released' | 'lost' {
    const { workspace, submission, nonce } = claim.record
    const key = submissionKey(workspace, submission)
    const isLocal = this.options.owned.claimOf(key) !== undefined || this.options.owned.answerOf(key) !== undefined
    if (isLocal) return 'local'
    return this.options.starter.isReleased(nonce) ? 'released' : 'lost'
  }
}
