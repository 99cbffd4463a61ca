import { createClient } from '@connectrpc/connect'
import type { Client, Interceptor } from '@connectrpc/connect'
import { PeerService } from '@hazellift/protocol'
import { openConnection } from '@hazellift/sessions'
import type { Connection } from '@hazellift/sessions'

/** A connection to another entry, with the calls that are in progress on it. */
export class PeerConnection {
  private readonly connection: Connection
  private readonly client: Client<typeof PeerService>
  private callCount = 0
  private isRetired = false

  /**
   * @param address - host:port of the other entry
   * @param interceptors - of all calls
   */
  constructor (address: string, interceptors: Interceptor[]) {
    this.connection = openConnection(address, interceptors)
    this.client = createClient(PeerService, this.connection.transport)
  }

  /** Makes a call on this connection. */
  async call<T> (callPeer: (client: Client<typeof PeerService>) => Promise<T>): Promise<T> {
    this.callCount++
    try {
      return await callPeer(this.client)
    } finally {
      this.callCount--
      this.closeIfUnused()
    }
  }

  /** Closes the connection once the calls that are in progress on it have ended. */
  retire (): void {
    this.isRetired = true
    this.closeIfUnused()
  }

  private closeIfUnused (): void {
    if (this.isRetired && this.callCount === 0) this.connection.close()
  }
}
