import type { Clock } from '@hazellift/common'
import { REASONS, RUN_STATES } from '@hazellift/protocol'
import type { Claim } from '../claims/claimRows.js'
import type { ClaimStore } from '../claims/claimStore.js'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import { submissionKey } from '../tasks/keys.js'
import { STORE_RETRY_MS } from './jobStarter.js'
import type { OwnedJobs } from './ownedJobs.js'
import type { PeerCalls } from './peerCalls.js'
import { refuse } from './replies.js'
import type { JobReply } from './replies.js'

/** Dependencies of a job canceller. */
export interface JobCancellerOptions {
  clock: Clock
  claims: Pick<ClaimStore, 'read'>
  owned: Pick<OwnedJobs, 'failByKey'>
  directory: Pick<EntryDirectory, 'find' | 'refresh'>
  peers: Pick<PeerCalls, 'cancel'>
  /** Longest wait of the caller for the final answer, in ms. */
  claimTimeoutMs: number
  /** Replies from this entry's memory; `undefined` if it does not know the job. */
  replyFromMemory: (key: string, until: number) => Promise<JobReply | undefined>
  /** Follows a claim until there is an answer or the wait ends, and takes it over if its owner is lost. */
  follow: (claim: Claim, until: number) => Promise<JobReply>
}

/** Wait for the answer after each request, before the owner is looked up and asked again, in ms; a few times that of a call. */
const RETRY_MS = 200

/** True if the job may still be open, so that its owner must be asked again. */
const mayBeOpen = (reply: JobReply): boolean =>
  reply.type === 'pending' || (reply.type === 'refused' && reply.reason === REASONS.ownerUnreachable)

/**
 * Cancels jobs, whichever entry owns them. The owner is asked until there is an answer: a request
 * may be lost with its connection, and the owner may change, to this entry as well.
 */
export class JobCanceller {
  constructor (private readonly options: JobCancellerOptions) {}

  /** Cancels a job. The reply is its final answer, which is another one if the job had finished before. */
  async cancel (workspace: string, id: string): Promise<JobReply> {
    const { clock, claimTimeoutMs } = this.options
    const until = clock.now() + claimTimeoutMs
    while (true) {
      const reply = await this.request(workspace, id, until)
      if (!mayBeOpen(reply) || clock.now() >= until) return reply
      await clock.sleep(RETRY_MS)
    }
  }

  private async request (workspace: string, id: string, until: number): Promise<JobReply> {
    const { clock, claims, owned, replyFromMemory, follow } = this.options
    const key = submissionKey(workspace, id)
    owned.failByKey(key, REASONS.cancelled, 'cancelled')
    const local = await replyFromMemory(key, until)
    if (local !== undefined) return local
    const claim = await claims.read(workspace, id)
    if (!claim.ok) return refuse(REASONS.storeDown, claim.err.message, RUN_STATES.mayHaveRun, STORE_RETRY_MS)
    if (claim.value === undefined) return refuse(REASONS.notFound, 'no such job', RUN_STATES.notRun)
    await this.askOwner(claim.value)
    return follow(claim.value, Math.min(until, clock.now() + RETRY_MS))
  }

  private async askOwner ({ record }: Claim): Promise<void> {
    const { directory, peers, claimTimeoutMs } = this.options
    const find = () => directory.find(record.ownerEntry, record.ownerIncarnation)
    // The claim and its owner may be newer than the last read of the directory.
    if (find() === undefined) await directory.refresh()
    const owner = find()
    if (owner === undefined) return
    const { workspace, submission, nonce } = record
    await peers.cancel(owner.sessionAddress, { workspace, submission, nonce, waitMs: claimTimeoutMs })
  }
}
