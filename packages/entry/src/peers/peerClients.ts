import { createClient } from '@connectrpc/connect'
import type { Client, Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { errorMessage, fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import type { PeerCalls, PeerFault } from '@hazellift/coordination'
import { CLUSTER_TOKEN_HEADER, PeerService } from '@hazellift/protocol'
import type { EntryRecord, StatusResponse } from '@hazellift/protocol'

const CALL_TIMEOUT_MS = 1000

const clusterTokenInterceptor = (clusterToken: string): Interceptor => (next) => (req) => {
  req.header.set(CLUSTER_TOKEN_HEADER, clusterToken)
  return next(req)
}

/** Calls to other entries over Connect; one connection a peer. */
export class PeerClients implements PeerCalls {
  private readonly clients = new Map<string, Client<typeof PeerService>>()

  constructor (private readonly clusterToken: string) {}

  await: PeerCalls['await'] = (address, query) =>
    this.call(query.waitMs + CALL_TIMEOUT_MS, (timeoutMs) => this.client(address).await(query, { timeoutMs }))

  cancel: PeerCalls['cancel'] = (address, { workspace, submission, nonce, waitMs }) =>
    this.call(waitMs + CALL_TIMEOUT_MS, (timeoutMs) =>
      this.client(address).cancel({ workspace, submission, nonce }, { timeoutMs }))

  /** Tells a peer of this entry; gives the peer's incarnation if it answered. */
  introduce = async (address: string, entry: EntryRecord): Promise<string | undefined> => {
    const res = await this.call(CALL_TIMEOUT_MS, (timeoutMs) => this.client(address).introduce({ entry }, { timeoutMs }))
    return res.ok ? res.value.incarnation : undefined
  }

  /** Tells a peer of a newer configuration; gives the version it has in force then. */
  configChanged = async (address: string, version: bigint): Promise<bigint | undefined> => {
    const res = await this.call(CALL_TIMEOUT_MS, (timeoutMs) => this.client(address).configChanged({ version }, { timeoutMs }))
    return res.ok ? res.value.version : undefined
  }

  /** What a peer sees, if it answers. */
  status = async (address: string): Promise<StatusResponse | undefined> => {
    const res = await this.call(CALL_TIMEOUT_MS, (timeoutMs) => this.client(address).status({}, { timeoutMs }))
    return res.ok ? res.value : undefined
  }

  /** Forgets connections to entries that are gone. */
  retainOnly (addresses: Set<string>): void {
    for (const address of this.clients.keys()) if (!addresses.has(address)) this.clients.delete(address)
  }

  private async call<T> (timeoutMs: number, callPeer: (timeoutMs: number) => Promise<T>): Promise<Result<T, PeerFault>> {
    try {
      return ok(await callPeer(timeoutMs))
    } catch (err) {
      return fail({ type: 'unreachable', message: errorMessage(err) })
    }
  }

  private client (address: string): Client<typeof PeerService> {
    const known = this.clients.get(address)
    if (known !== undefined) return known
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '2',
      interceptors: [clusterTokenInterceptor(this.clusterToken)]
    })
    const client = createClient(PeerService, transport)
    this.clients.set(address, client)
    return client
  }
}
