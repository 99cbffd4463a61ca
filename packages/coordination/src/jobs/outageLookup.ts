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
  directory: Pick<EntryDirectory, 'peers' | 'sinceUngracefulEndMs'>
  /** How long entries remember their jobs, in ms. */
  memoryMs: number
}

/** A job found at a peer, or what can be said about one that was not found. */
export type OutageFinding =
  | { type: 'reply', reply: JobReply }
  | { type: 'absent', run: RunState }

interface PeerFinding {
  address: string
  response: AwaitResponse | undefined
}

const KNOWN_KINDS: ReadonlySet<string> = new Set([PEER_ANSWERS.final, PEER_ANSWERS.pending])

/**
 * Looks for a submission while the table cannot be read, by asking every peer
 * for its memory. Only if all of them answer, and none was lost lately, can it
 * be said that nothing of the submission ran.
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
    const findings = await Promise.all(this.options.directory.peers.map(({ sessionAddress }) =>
      this.ask(sessionAddress, workspace, submission, 0)))
    const owner = findings.find(({ response }) => KNOWN_KINDS.has(response?.kind ?? ''))
    if (owner === undefined) return { type: 'absent', run: this.runStateOf(findings) }
    const isOther = hash !== undefined && !isSameBody(owner.response!.bodyHash, hash)
    if (isOther) return { type: 'reply', reply: refuseConflict() }
    return { type: 'reply', reply: await this.waitAt(owner, workspace, submission, waitMs) }
  }

  private async ask (address: string, workspace: string, submission: string, waitMs: number): Promise<PeerFinding> {
    const res = await this.options.peers.await(address, { workspace, submission, nonce: '', waitMs })
    return { address, response: res.ok ? res.value : undefined }
  }

  private runStateOf (findings: PeerFinding[]): RunState {
    const isSure = findings.every(({ response }) => response !== undefined) &&
      this.options.directory.sinceUngracefulEndMs > this.options.memoryMs
    return isSure ? RUN_STATES.notRun : RUN_STATES.mayHaveRun
  }

  private async waitAt ({ address, response }: PeerFinding, workspace: string, submission: string, waitMs: number): Promise<JobReply> {
    if (response!.answer !== undefined) return { type: 'answer', answer: response!.answer }
    if (waitMs <= 0) return { type: 'pending' }
    const { response: later } = await this.ask(address, workspace, submission, waitMs)
    return later?.answer !== undefined ? { type: 'answer', answer: later.answer } : { type: 'pending' }
  }
}
