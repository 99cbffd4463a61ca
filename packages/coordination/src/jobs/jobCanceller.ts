import type { Clock } from '@hazellift/common'
import { PEER_ANSWERS, REASONS, RUN_STATES } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import type { Claim } from '../claims/claimRows.js'
import type { ClaimStore } from '../claims/claimStore.js'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import { submissionKey } from '../tasks/keys.js'
import { firstMatching } from './firstMatching.js'
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
  directory: Pick<EntryDirectory, 'find' | 'refresh' | 'others'>
  peers: Pick<PeerCalls, 'cancel'>
  /** Longest wait of the caller for the final answer, in ms. */
  claimTimeoutMs: number
  /** Replies from this entry's memory; `undefined` if it does not know the job. */
  replyFromMemory: (key: string, until: number) => Promise<JobReply | undefined>
  /** Follows a claim until there is an answer or the wait ends, and takes it over if its owner is lost. */
  follow: (claim: Claim, until: number) => Promise<JobReply>
  /** Called with the reason of each repeated request to end a job. */
  observeRetry: (reason: CancelRetryReason) => void
}

/** Why a job that is to be cancelled may still be open: it has no final answer yet, or the reason of a refusal. */
export type CancelRetryReason = 'pending' | Reason

/** In a question to another entry, stands for whatever claim of the submission that entry has. */
const ANY_CLAIM = ''
/** Wait for the answer after each request, before the owner is looked up and asked again, in ms; a few times that of a call. */
const RETRY_MS = 200

/** Reasons of refusals after which the job may still be open, unless nothing of it was run. */
const OPEN_REASONS: ReadonlySet<Reason> = new Set([REASONS.ownerUnreachable, REASONS.storeDown])

/** Why the job may still be open, so that its owner must be asked again; `undefined` if it is not. */
const retryReasonOf = (reply: JobReply): CancelRetryReason | undefined => {
  if (reply.type === 'pending') return 'pending'
  const mayBeOpen = reply.type === 'refused' && OPEN_REASONS.has(reply.reason) && reply.run !== RUN_STATES.notRun
  return mayBeOpen ? reply.reason : undefined
}

/** The reply of an entry that was asked to cancel a job; `undefined` if it does not answer or does not know the job. */
const toReply = (res: Awaited<ReturnType<PeerCalls['cancel']>>): JobReply | undefined => {
  if (!res.ok || res.value.kind === PEER_ANSWERS.unknown) return undefined
  return res.value.answer === undefined ? { type: 'pending' } : { type: 'answer', answer: res.value.answer }
}

/**
 * Cancels jobs, whichever entry owns them. The owner is asked until there is an answer: a request
 * may be lost with its connection, and the owner may change, to this entry as well. While the table
 * does not tell who owns the job, all other entries are asked: the owner needs no table to end it.
 */
export class JobCanceller {
  constructor (private readonly options: JobCancellerOptions) {}

  /** Cancels a job. The reply is its final answer, which is another one if the job had finished before. */
  async cancel (workspace: string, id: string): Promise<JobReply> {
    const { clock, claimTimeoutMs, observeRetry } = this.options
    const until = clock.now() + claimTimeoutMs
    while (true) {
      const reply = await this.request(workspace, id, until)
      const retryReason = retryReasonOf(reply)
      if (retryReason === undefined || clock.now() >= until) return reply
      observeRetry(retryReason)
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
    if (!claim.ok) return this.askOthers(workspace, id, until)
    if (claim.value === undefined) return refuse(REASONS.notFound, 'no such job', RUN_STATES.notRun)
    const reply = await this.askOwner(claim.value)
    if (reply?.type === 'answer') return reply
    return follow(claim.value, Math.min(until, clock.now() + RETRY_MS))
  }

  /** Asks the owner to cancel the job; `undefined` if it cannot be found, does not answer or does not know the job. */
  private async askOwner ({ record }: Claim): Promise<JobReply | undefined> {
    const { directory, peers, claimTimeoutMs } = this.options
    const find = () => directory.find(record.ownerEntry, record.ownerIncarnation)
    // The claim and its owner may be newer than the last read of the directory.
    if (find() === undefined) await directory.refresh()
    const owner = find()
    if (owner === undefined) return undefined
    const { workspace, submission, nonce } = record
    return toReply(await peers.cancel(owner.sessionAddress, { workspace, submission, nonce, waitMs: claimTimeoutMs }))
  }

  /** Asks all other entries to cancel the job. Replies once one of them has its final answer, or when all have answered. */
  private async askOthers (workspace: string, submission: string, until: number): Promise<JobReply> {
    const { clock, directory, peers } = this.options
    const waitMs = Math.max(0, until - clock.now())
    const replies = directory.others.map(async ({ sessionAddress }) =>
      toReply(await peers.cancel(sessionAddress, { workspace, submission, nonce: ANY_CLAIM, waitMs })))
    const isFinal = (reply: JobReply | undefined): boolean => reply?.type === 'answer'
    const reply = await firstMatching(replies, isFinal) ?? (await Promise.all(replies)).find((other) => other !== undefined)
    return reply ?? refuse(REASONS.storeDown, 'the table service does not answer, and no other entry has answered for the job', RUN_STATES.mayHaveRun, STORE_RETRY_MS)
  }
}
