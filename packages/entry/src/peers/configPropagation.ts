import type { Clock } from '@hazellift/common'
import type { ConfigWatch, EntryDirectory } from '@hazellift/coordination'
import type { PeerClients } from './peerClients.js'

/** What spreading needs. */
export interface ConfigPropagationOptions {
  clock: Clock
  entryId: string
  watch: ConfigWatch
  directory: Pick<EntryDirectory, 'peers'>
  peers: Pick<PeerClients, 'configChanged'>
}

/** Where a version is in force. */
export interface PropagationResult {
  inForce: string[]
  pending: string[]
}

const RETRY_MS = 200

/** Tells all entries of an accepted change, which they would else find at their next poll. */
export class ConfigPropagation {
  constructor (private readonly options: ConfigPropagationOptions) {}

  /**
   * Puts a version in force here and tells the peers.
   *
   * @param version - just accepted
   * @param waitMs - how long to wait for peers that do not confirm
   */
  async propagate (version: bigint, waitMs: number): Promise<PropagationResult> {
    const { clock, watch, entryId, directory } = this.options
    const until = clock.now() + waitMs
    while (true) {
      await watch.refresh()
      const result = await this.notifyPeers(version)
      const isOwnInForce = watch.version >= version
      ;(isOwnInForce ? result.inForce : result.pending).unshift(entryId)
      const isDone = result.pending.length === 0 || directory.peers.length === 0
      if ((isDone && isOwnInForce) || clock.now() >= until) return result
      await clock.sleep(RETRY_MS)
    }
  }

  private async notifyPeers (version: bigint): Promise<PropagationResult> {
    const { directory, peers } = this.options
    const result: PropagationResult = { inForce: [], pending: [] }
    await Promise.all(directory.peers.map(async ({ entryId, sessionAddress }) => {
      const inForce = await peers.configChanged(sessionAddress, version)
      const isInForce = inForce !== undefined && inForce >= version
      ;(isInForce ? result.inForce : result.pending).push(entryId)
    }))
    return result
  }
}
