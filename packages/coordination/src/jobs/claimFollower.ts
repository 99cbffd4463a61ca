import type { Clock } from '@hazellift/common'
import { PEER_ANSWERS, REASONS, RUN_STATES } from '@hazellift/protocol'
import type { AwaitResponse, EntryRecord } from '@hazellift/protocol'
import type { Claim } from '../claims/claimRows.js'
import type { ClaimStore } from '../claims/claimStore.js'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import { isSameBody } from './bodyHash.js'
import type { PeerCalls } from './peerCalls.js'
import { refuse, refuseConflict } from './replies.js'
import type { JobReply } from './replies.js'

/** What to do about a claim that this entry does not wait for in memory. */
export type FollowStep =
  | { type: 'reply', reply: JobReply }
  /** The claim is this entry's and its job is open here. */
  | { type: 'local' }
  /** Nothing was or will be started under the claim: it may be taken over and run. */
  | { type: 'released', claim: Claim }
  /** The owner is lost: the claim must be taken over and its results collected. */
  | { type: 'lost', claim: Claim }
  /** The row is gone. */
  | { type: 'absent' }

/** What attaching needs. */
export interface ClaimFollowerOptions {
  clock: Clock
  claims: Pick<ClaimStore, 'read' | 'answerOf'>
  directory: Pick<EntryDirectory, 'find' | 'refresh' | 'isStale'>
  peers: PeerCalls
  entryId: string
  incarnation: string
  /** What this entry itself says of a claim of its own. */
  ownClaimState: (claim: Claim) => 'local' | 'released' | 'lost'
  staleAfterMs: number
}

/** Short, so that a frozen owner is noticed while its row goes stale. */
const PEER_WAIT_MS = 2000
const UNREACHABLE_RETRY_MS = 200

const ownerUnreachable = (message: string, retryAfterMs: number): FollowStep => ({
  type: 'reply',
  reply: refuse(REASONS.ownerUnreachable, message, RUN_STATES.mayHaveRun, retryAfterMs)
})

/** Follows a claim to its owner and waits there for the answer. */
export class ClaimFollower {
  constructor (private readonly options: ClaimFollowerOptions) {}

  /**
   * Follows a claim until there is an answer, the time is over, or this entry has to act.
   *
   * @param hash - body of this submission, `undefined` for a question about any
   * @param until - on the clock given
   */
  async follow (claim: Claim, hash: Uint8Array | undefined, until: number): Promise<FollowStep> {
    if (hash !== undefined && !isSameBody(claim.record.bodyHash, hash)) return { type: 'reply', reply: refuseConflict() }
    let current = claim
    while (true) {
      const step = await this.step(current, until)
      if (step !== undefined) return step
      const { workspace, submission } = claim.record
      const res = await this.options.claims.read(workspace, submission)
      if (!res.ok) return ownerUnreachable(`the table does not answer: ${res.err.message}`, this.options.staleAfterMs)
      if (res.value === undefined) return { type: 'absent' }
      current = res.value
    }
  }

  private async step (claim: Claim, until: number): Promise<FollowStep | undefined> {
    const stored = await this.options.claims.answerOf(claim)
    if (!stored.ok) return ownerUnreachable(`the answer cannot be read: ${stored.err.message}`, this.options.staleAfterMs)
    if (stored.value !== undefined) return { type: 'reply', reply: { type: 'answer', answer: stored.value } }
    const { ownerEntry, ownerIncarnation } = claim.record
    if (ownerIncarnation === this.options.incarnation) return this.ownStep(claim)
    const owner = await this.findOwner(ownerEntry, ownerIncarnation)
    if (owner === undefined) return this.onOwnerUnreachable(claim, until)
    return this.waitAtOwner(owner, claim, until)
  }

  private ownStep (claim: Claim): FollowStep {
    const own = this.options.ownClaimState(claim)
    return own === 'local' ? { type: 'local' } : { type: own, claim }
  }

  private async findOwner (entryId: string, incarnation: string): Promise<EntryRecord | undefined> {
    const { directory } = this.options
    const known = directory.find(entryId, incarnation)
    if (known !== undefined) return known
    // A claim may be younger than the last look at the directory.
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
    await clock.sleep(UNREACHABLE_RETRY_MS)
    return undefined
  }
}
