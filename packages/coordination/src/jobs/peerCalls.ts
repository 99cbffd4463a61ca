import type { Result } from '@hazellift/common'
import type { AwaitResponse } from '@hazellift/protocol'

/** A call to another entry that got no answer. */
export interface PeerFault {
  type: 'unreachable'
  message: string
}

/** Names a job to a peer. */
export interface PeerQuery {
  workspace: string
  submission: string
  /** Nonce of the claim that is meant; empty for any. */
  nonce: string
  waitMs: number
}

/** Calls to other entries; the transport is passed in. */
export interface PeerCalls {
  /** Waits for a job that the peer owns. */
  await: (address: string, query: PeerQuery) => Promise<Result<AwaitResponse, PeerFault>>
  /** Cancels a job that the peer owns. */
  cancel: (address: string, query: PeerQuery) => Promise<Result<AwaitResponse, PeerFault>>
}
