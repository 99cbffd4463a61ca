import type { Clock } from '@hazellift/common'
import { PEER_ANSWERS, RUN_STATES } from '@hazellift/protocol'
import type { AwaitResponse, RunState } from '@hazellift/protocol'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import { isSameBody } from './bodyHash.js'
import type { PeerCalls } from './peerCalls.js'
import { refuseConflict } from './replies.js'
import type { JobReply } from './replies.js'

/** Dependencies and settings of the lookup. */
export interface OutageLookupOptions {
  clock: Clock
  peers: PeerCalls
  directory: Pick<EntryDirectory, 'others' | 'sinceReadMs' | 'sinceEndMs'>
  /** How long entries remember their jobs, in ms. */
  memoryMs: number
  /**
   * Age up to which the last read of the entries includes every entry that may
   * claim, in ms. Must be less than the time that a new entry waits before it
   * claims without an answer from all others.
   */
  freshMs: number
  /** True if this entry remembers every answer younger than `memoryMs`. */
  isMemoryWhole: () => boolean
  /** True once the other entries know this one, and this one therefore knows them. */
  mayClaim: () => boolean
}

/** The reply of a job found at a peer, or whether a job that was not found may have run. */
export type OutageFinding =
  | { type: 'reply', reply: JobReply }
  | { type: 'absent', run: RunState }

interface PeerFinding {
  address: string
  /** Incarnation of the entry that was asked. */
  incarnation: string
  response: AwaitResponse | undefined
}

const KNOWN_KINDS: ReadonlySet<string> = new Set([PEER_ANSWERS.final, PEER_ANSWERS.pending])

/** True if the incarnation that was asked answered itself and remembers every answer younger than `memoryMs`. */
const isReliableReply = ({ incarnation, response }: PeerFinding): boolean =>
  response?.incarnation === incarnation && response.memoryWhole

/**
 * Looks for a submission in the memory of every other entry while the table
 * cannot be read. "Not run" is reported only if every entry that may have run
 * the submission is known and answers from a complete memory, and no entry has
 * ended within `memoryMs`.
 */
export class OutageLookup {
  constructor (private readonly options: OutageLookupOptions) {}

  /**
   * Asks all peers for a submission.
   *
   * @param hash - hash of the body submitted, `undefined` if any body is accepted
   * @param waitMs - how long to wait for the answer of a job that a peer knows
   */
  async find (workspace: string, submission: string, hash: Uint8Array | undefined, waitMs: number): Promise<OutageFinding> {
    // Checked before the peers are asked: a later read may add an entry that was not asked.
    const isEveryEntryKnown = this.isEveryEntryKnown()
    const findings = await Promise.all(this.options.directory.others.map(async ({ sessionAddress, incarnation }) =>
      ({ address: sessionAddress, incarnation, response: await this.askPeer(sessionAddress, workspace, submission, 0) })))
    const owner = findings.find(({ response }) => KNOWN_KINDS.has(response?.kind ?? ''))
    if (owner === undefined) return { type: 'absent', run: this.runStateOf(findings, isEveryEntryKnown) }
    const isConflict = hash !== undefined && !isSameBody(owner.response!.bodyHash, hash)
    if (isConflict) return { type: 'reply', reply: refuseConflict() }
    return { type: 'reply', reply: await this.waitAtPeer(owner, workspace, submission, waitMs) }
  }

  private async askPeer (address: string, workspace: string, submission: string, waitMs: number): Promise<AwaitResponse | undefined> {
    const res = await this.options.peers.await(address, { workspace, submission, nonce: '', waitMs })
    return res.ok ? res.value : undefined
  }

  /** True if the directory shows every entry that can have run a job within `memoryMs`. */
  private isEveryEntryKnown (): boolean {
    const { directory, memoryMs, freshMs, mayClaim } = this.options
    return mayClaim() && directory.sinceReadMs < freshMs && directory.sinceEndMs > memoryMs
  }

  private runStateOf (findings: PeerFinding[], isEveryEntryKnown: boolean): RunState {
    const isNotRun = isEveryEntryKnown && this.options.isMemoryWhole() && findings.every(isReliableReply)
    return isNotRun ? RUN_STATES.notRun : RUN_STATES.mayHaveRun
  }

  private async waitAtPeer ({ address, response }: PeerFinding, workspace: string, submission: string, waitMs: number): Promise<JobReply> {
    if (response!.answer !== undefined) return { type: 'answer', answer: response!.answer }
    if (waitMs <= 0) return { type: 'pending' }
    const later = await this.askPeer(address, workspace, submission, waitMs)
    return later?.answer !== undefined ? { type: 'answer', answer: later.answer } : { type: 'pending' }
  }
}
