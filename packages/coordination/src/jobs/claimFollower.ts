import type { Clock } from '@hazellift/common'
import { PEER_ANSWERS, REASONS, RUN_STATES } from '@hazellift/protocol'
import type { AwaitResponse, EntryRecord } from '@hazellift/protocol'
import { isTransient } from '@hazellift/store'
import type { StoreFault } from '@hazellift/store'
import type { Claim } from '../claims/claimRows.js'
import type { ClaimStore } from '../claims/claimStore.js'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import { isSameBody } from './bodyHash.js'
import type { PeerCalls } from './peerCalls.js'
import { refuse, refuseConflict } from './replies.js'
import type { JobReply } from './replies.js'

/** What the job service has to do next about a claim that was followed. */
export type FollowStep =
  | { type: 'reply', reply: JobReply }
  /** This entry owns the claim and knows the job: it is open here, or its answer is remembered. */
  | { type: 'local' }
  /** Nothing was or will be started under the claim, so it may be taken over and its job run. */
  | { type: 'released', claim: Claim }
  /** The owner is lost, so the claim must be taken over and the results collected from agents. */
  | { type: 'lost', claim: Claim }
  /** The claim row no longer exists. */
  | { type: 'absent' }

/** Dependencies and settings of a claim follower. */
export interface ClaimFollowerOptions {
  clock: Clock
  claims: Pick<ClaimStore, 'read' | 'answerOf'>
  directory: Pick<EntryDirectory, 'find' | 'refresh' | 'isStale'>
  peers: PeerCalls
  entryId: string
  incarnation: string
  /** State of a claim whose owner is this incarnation of this entry. */
  ownClaimState: (claim: Claim) => 'local' | 'released' | 'lost'
  /** Time after which the row of an entry that does not renew it is stale. */
  staleAfterMs: number
}

/** Longest wait of one call to the owner; short, so that a frozen owner is noticed while its row becomes stale. */
const PEER_WAIT_MS = 2000
/** Pause before the owner, the table or the object store is asked again, in ms. */
const RETRY_MS = 200

const ownerUnreachable = (message: string, retryAfterMs: number): FollowStep => ({
  type: 'reply',
  reply: refuse(REASONS.ownerUnreachable, message, RUN_STATES.mayHaveRun, retryAfterMs)
})

/** Follows a claim to the entry that owns it and waits there for the answer. */
export class ClaimFollower {
  constructor (private readonly options: ClaimFollowerOptions) {}

  /**
   * Follows a claim until there is an answer, the wait ends, or this entry has to act.
   *
   * @param hash - hash of the body submitted, `undefined` if any body is accepted
   * @param until - when to stop waiting, on the monotonic clock
   */
  async follow (claim: Claim, hash: Uint8Array | undefined, until: number): Promise<FollowStep> {
    if (hash !== undefined && !isSameBody(claim.record.bodyHash, hash)) return { type: 'reply', reply: refuseConflict() }
    let current = claim
    while (true) {
      const step = await this.step(current, until)
      if (step !== undefined) return step
      const { workspace, submission } = claim.record
      const res = await this.options.claims.read(workspace, submission)
      // Without a newer claim, the owner that is known is asked again: it needs no table to answer.
      if (!res.ok) {
        if (this.isOver(res.err, until)) return ownerUnreachable(`the table does not answer: ${res.err.message}`, this.options.staleAfterMs)
        continue
      }
      if (res.value === undefined) return { type: 'absent' }
      current = res.value
    }
  }

  /** Reads a claim, again and again while the table does not answer, until the wait ends. */
  async read (workspace: string, submission: string, until: number): ReturnType<ClaimStore['read']> {
    while (true) {
      const res = await this.options.claims.read(workspace, submission)
      if (res.ok || this.isOver(res.err, until)) return res
      await this.options.clock.sleep(RETRY_MS)
    }
  }

  /** True if a failed call is not repeated: the wait has ended, or the call would fail again. */
  private isOver (fault: StoreFault, until: number): boolean {
    return !isTransient(fault) || this.options.clock.now() >= until
  }

  private async step (claim: Claim, until: number): Promise<FollowStep | undefined> {
    const stored = await this.options.claims.answerOf(claim)
    if (!stored.ok) return this.onAnswerUnreadable(stored.err, until)
    if (stored.value !== undefined) return { type: 'reply', reply: { type: 'answer', answer: stored.value } }
    const { ownerEntry, ownerIncarnation } = claim.record
    if (ownerIncarnation === this.options.incarnation) return this.ownStep(claim)
    const owner = await this.findOwner(ownerEntry, ownerIncarnation)
    if (owner === undefined) return this.onOwnerUnreachable(claim, until)
    return this.waitAtOwner(owner, claim, until)
  }

  private async onAnswerUnreadable (fault: StoreFault, until: number): Promise<FollowStep | undefined> {
    if (this.isOver(fault, until)) return ownerUnreachable(`the answer cannot be read: ${fault.message}`, this.options.staleAfterMs)
    await this.options.clock.sleep(RETRY_MS)
    return undefined
  }

  private ownStep (claim: Claim): FollowStep {
    const own = this.options.ownClaimState(claim)
    return own === 'local' ? { type: 'local' } : { type: own, claim }
  }

  private async findOwner (entryId: string, incarnation: string): Promise<EntryRecord | undefined> {
    const { directory } = this.options
    const known = directory.find(entryId, incarnation)
    if (known !== undefined) return known
    // The claim and its owner may be newer than the last read of the directory.
    await directory.refresh()
    return directory.find(entryId, incarnation)
  }

  private async waitAtOwner (owner: EntryRecord, claim: Claim, until: number): Promise<FollowStep | undefined> {
    const { clock, peers } = this.options
    const { workspace, submission, nonce } = claim.record
    const waitMs = Math.max(0, Math.min(PEER_WAIT_MS, until - clock.now()))
    const res = await peers.await(owner.sessionAddress, { workspace, submission, nonce, waitMs })
    if (!res.ok) return this.onOwnerUnreachable(claim, until)
    return this.onPeerAnswer(res.value, claim, until)
  }

  private onPeerAnswer ({ kind, answer }: AwaitResponse, claim: Claim, until: number): FollowStep | undefined {
    if (answer !== undefined) return { type: 'reply', reply: { type: 'answer', answer } }
    if (kind === PEER_ANSWERS.released) return { type: 'released', claim }
    if (kind === PEER_ANSWERS.unknown) return { type: 'lost', claim }
    return this.options.clock.now() >= until ? { type: 'reply', reply: { type: 'pending' } } : undefined
  }

  private async onOwnerUnreachable (claim: Claim, until: number): Promise<FollowStep | undefined> {
    const { clock, directory, staleAfterMs } = this.options
    const { ownerEntry, ownerIncarnation } = claim.record
    if (directory.isStale(ownerEntry, ownerIncarnation)) return { type: 'lost', claim }
    if (clock.now() >= until) return ownerUnreachable(`entry ${ownerEntry} does not answer`, staleAfterMs)
    await clock.sleep(RETRY_MS)
    return undefined
  }
}
