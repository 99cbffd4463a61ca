import type { Clock } from '@hazellift/common'
import { PEER_ANSWERS, RUN_STATES } from '@hazellift/protocol'
import type { AwaitResponse, RunState } from '@hazellift/protocol'
import type { EntryDirectory } from '../entries/entryDirectory.js'
import { isSameBody } from './bodyHash.js'
import type { PeerCalls } from './peerCalls.js'
import { refuseConflict } from './replies.js'
import type { JobReply } from './replies.js'

/** What the lookup needs. */
export interface OutageLookupOptions {
  clock: Clock
  peers: PeerCalls
  directory: Pick<EntryDirectory, 'others' | 'sinceReadMs' | 'sinceEndMs'>
  /** How long entries remember their jobs, in ms. */
  memoryMs: number
  /** Age up to which the last read shows every entry that may claim; less than their announcement waits, in ms. */
  freshMs: number
  /** True if this entry itself has dropped no answer early. */
  isMemoryWhole: () => boolean
  /** True once this entry is known to the others, and so knows them. */
  mayClaim: () => boolean
}

/** A job found at a peer, or what can be said about one that was not found. */
export type OutageFinding =
  | { type: 'reply', reply: JobReply }
  | { type: 'absent', run: RunState }

interface PeerFinding {
  address: string
  /** The process that was meant to answer. */
  incarnation: string
  response: AwaitResponse | undefined
}

const KNOWN_KINDS: ReadonlySet<string> = new Set([PEER_ANSWERS.final, PEER_ANSWERS.pending])

/** The process that was meant has answered, and has every answer of the window. */
const isReliableReply = ({ incarnation, response }: PeerFinding): boolean =>
  response?.incarnation === incarnation && response.memoryWhole

/**
 * Looks for a submission while the table cannot be read, by asking every other
 * entry for its memory. That nothing of the submission ran can be said only if
 * every entry that may have run it is known and answers from a whole memory,
 * and none has ended within the memory's length.
 */
export class OutageLookup {
  constructor (private readonly options: OutageLookupOptions) {}

  /**
   * Finds a submission at the peers.
   *
   * @param hash - body of this submission, `undefined` for a question about any
   * @param waitMs - how long to wait for the answer of a job found
   */
  async find (workspace: string, submission: string, hash: Uint8Array | undefined, waitMs: number): Promise<OutageFinding> {
    // Judged before the others are asked: a later read may show an entry that was not among them.
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

  /** True if the directory shows every entry that can have run anything that is remembered. */
  private isEveryEntryKnown (): boolean {
    const { directory, memoryMs, freshMs, mayClaim } = this.options
    return mayClaim() && directory.sinceReadMs < freshMs && directory.sinceEndMs > memoryMs
  }

  private runStateOf (findings: PeerFinding[], isEveryEntryKnown: boolean): RunState {
    const isProved = isEveryEntryKnown && this.options.isMemoryWhole() && findings.every(isReliableReply)
    return isProved ? RUN_STATES.notRun : RUN_STATES.mayHaveRun
  }

  private async waitAtPeer ({ address, response }: PeerFinding, workspace: string, submission: string, waitMs: number): Promise<JobReply> {
    if (response!.answer !== undefined) return { type: 'answer', answer: response!.answer }
    if (waitMs <= 0) return { type: 'pending' }
    const later = await this.askPeer(address, workspace, submission, waitMs)
    return later?.answer !== undefined ? { type: 'answer', answer: later.answer } : { type: 'pending' }
  }
}
