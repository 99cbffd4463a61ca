import { Code, ConnectError } from '@connectrpc/connect'
import type { Client, Interceptor } from '@connectrpc/connect'
import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import type { PeerCalls, PeerFault } from '@hazellift/coordination'
import { CLUSTER_TOKEN_HEADER } from '@hazellift/protocol'
import type { EntryRecord, PeerService, StatusResponse } from '@hazellift/protocol'
import { PeerConnection } from './peerConnection.js'

const CALL_TIMEOUT_MS = 1000

/** Times on the wire and time limits of calls are whole milliseconds; a call with a fraction would not be sent. */
const toWholeMs = (ms: number): number => Math.max(0, Math.ceil(ms))

const clusterTokenInterceptor = (clusterToken: string): Interceptor => (next) => (req) => {
  req.header.set(CLUSTER_TOKEN_HEADER, clusterToken)
  return next(req)
}

/** True if a call had no answer in time. */
const isTimeout = (err: unknown): boolean => err instanceof ConnectError && err.code === Code.DeadlineExceeded

/**
 * Calls other entries over Connect, with one connection per peer. A call without an
 * answer in time replaces the connection: it may have gone silent, and every later
 * call on it would time out, too.
 */
export class PeerClients implements PeerCalls {
  private readonly connections = new Map<string, PeerConnection>()

  constructor (private readonly clusterToken: string) {}

  await: PeerCalls['await'] = (address, query) => {
    const waitMs = toWholeMs(query.waitMs)
    return this.call(address, waitMs + CALL_TIMEOUT_MS, (peer, timeoutMs) => peer.await({ ...query, waitMs }, { timeoutMs }))
  }

  cancel: PeerCalls['cancel'] = (address, { workspace, submission, nonce, waitMs }) =>
    this.call(address, toWholeMs(waitMs) + CALL_TIMEOUT_MS, (peer, timeoutMs) => peer.cancel({ workspace, submission, nonce }, { timeoutMs }))

  /** Introduces this entry to a peer; returns the peer's incarnation, or undefined if it did not answer. */
  introduce = async (address: string, entry: EntryRecord): Promise<string | undefined> => {
    const res = await this.call(address, CALL_TIMEOUT_MS, (peer, timeoutMs) => peer.introduce({ entry }, { timeoutMs }))
    return res.ok ? res.value.incarnation : undefined
  }

  /** Notifies a peer of a newer configuration; returns the version that is then in force there, or undefined if it did not answer. */
  configChanged = async (address: string, version: bigint): Promise<bigint | undefined> => {
    const res = await this.call(address, CALL_TIMEOUT_MS, (peer, timeoutMs) => peer.configChanged({ version }, { timeoutMs }))
    return res.ok ? res.value.version : undefined
  }

  /** Asks a peer for its status; returns undefined if it did not answer. */
  status = async (address: string): Promise<StatusResponse | undefined> => {
    const res = await this.call(address, CALL_TIMEOUT_MS, (peer, timeoutMs) => peer.status({}, { timeoutMs }))
    return res.ok ? res.value : undefined
  }

  /** Drops the connections to all addresses that are not in the set. */
  retainOnly (addresses: Set<string>): void {
    for (const [address, connection] of this.connections) if (!addresses.has(address)) this.drop(address, connection)
  }

  private async call<T> (address: string, timeoutMs: number, callPeer: (peer: Client<typeof PeerService>, timeoutMs: number) => Promise<T>): Promise<Result<T, PeerFault>> {
    const connection = this.connectionTo(address)
    try {
      return ok(await connection.call((peer) => callPeer(peer, timeoutMs)))
    } catch (err) {
      if (isTimeout(err)) this.drop(address, connection)
      return fail({ type: 'unreachable', message: errorMessage(err) })
    }
  }

  private drop (address: string, connection: PeerConnection): void {
    if (this.connections.get(address) === connection) this.connections.delete(address)
    connection.retire()
  }

  private connectionTo (address: string): PeerConnection {
    const known = this.connections.get(address)
    if (known !== undefined) return known
    const connection = new PeerConnection(address, [clusterTokenInterceptor(this.clusterToken)])
    this.connections.set(address, connection)
    return connection
  }
}
