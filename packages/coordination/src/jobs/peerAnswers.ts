import { PEER_ANSWERS, REASONS } from '@hazellift/protocol'
import type { JobAnswer, PeerAnswer } from '@hazellift/protocol'
import { submissionKey } from '../tasks/keys.js'
import type { OwnedJobs } from './ownedJobs.js'
import type { PeerQuery } from './peerCalls.js'

/** Reply to the question of another entry, from this entry's memory. Its fields are those of `AwaitResponse`. */
export interface LocalFinding {
  kind: PeerAnswer
  answer?: JobAnswer
  bodyHash: Uint8Array
  /** Incarnation of the entry that answers. */
  incarnation: string
  /** False if an answer was dropped before its time, so that "unknown" does not prove that the job never ran here. */
  memoryWhole: boolean
}

/** Dependencies of the answers to other entries. */
export interface PeerAnswersOptions {
  owned: OwnedJobs
  incarnation: string
  /** Resolves once no claim of the submission is being written here. */
  afterClaiming: (key: string) => Promise<unknown>
  /** True if this entry released the claim with this nonce before it started anything. */
  isReleased: (nonce: string) => boolean
}

const NO_HASH = new Uint8Array()

/** Answers the questions of other entries about the jobs in this entry's memory. */
export class PeerAnswers {
  constructor (private readonly options: PeerAnswersOptions) {}

  /** Waits for a job that this entry owns. */
  async await (query: PeerQuery): Promise<LocalFinding> {
    const { owned, incarnation, afterClaiming } = this.options
    const key = submissionKey(query.workspace, query.submission)
    await afterClaiming(key)
    const finding = await this.find(key, query)
    return { ...finding, incarnation, memoryWhole: owned.isMemoryWhole }
  }

  /** Cancels a job that this entry owns. */
  async cancel (query: PeerQuery): Promise<LocalFinding> {
    const key = submissionKey(query.workspace, query.submission)
    await this.options.afterClaiming(key)
    this.options.owned.failByKey(key, REASONS.cancelled, 'cancelled')
    return this.await(query)
  }

  private async find (key: string, { nonce, waitMs }: PeerQuery): Promise<Pick<LocalFinding, 'kind' | 'answer' | 'bodyHash'>> {
    const { owned, isReleased } = this.options
    const claim = owned.claimOf(key)
    if (claim !== undefined && (nonce === '' || nonce === claim.record.nonce)) {
      const update = await owned.wait(key, waitMs)
      const { bodyHash } = claim.record
      if (update.type === 'answer') return { kind: PEER_ANSWERS.final, answer: update.answer, bodyHash }
      return { kind: PEER_ANSWERS.pending, bodyHash }
    }
    const remembered = owned.answerOf(key)
    if (remembered !== undefined) return { kind: PEER_ANSWERS.final, answer: remembered.answer, bodyHash: remembered.bodyHash }
    return { kind: isReleased(nonce) ? PEER_ANSWERS.released : PEER_ANSWERS.unknown, bodyHash: NO_HASH }
  }
}
