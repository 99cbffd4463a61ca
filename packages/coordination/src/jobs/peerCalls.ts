import type { Result } from '@hazellift/common'
import type { AwaitResponse } from '@hazellift/protocol'

/** Fault of a call to another entry that got no answer. */
export interface PeerFault {
  type: 'unreachable'
  message: string
}

/** A question to another entry about a job. */
export interface PeerQuery {
  workspace: string
  submission: string
  /** Nonce of the claim that the question is about; empty for any claim of the submission. */
  nonce: string
  /** How long the peer may wait for the answer of the job. */
  waitMs: number
}

/** Calls to other entries, by their session address. */
export interface PeerCalls {
  /** Waits for a job that the peer owns. */
  await: (address: string, query: PeerQuery) => Promise<Result<AwaitResponse, PeerFault>>
  /** Cancels a job that the peer owns. */
  cancel: (address: string, query: PeerQuery) => Promise<Result<AwaitResponse, PeerFault>>
}
