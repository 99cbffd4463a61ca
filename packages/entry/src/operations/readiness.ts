import type { Clock } from '@hazellift/common'
import type { ConfigWatch, Dispatcher, EntryAnnouncement, EntryDirectory } from '@hazellift/coordination'
import type { PeerClients } from '../peers/peerClients.js'

/** What readiness depends on. */
export interface ReadinessOptions {
  clock: Clock
  watch: ConfigWatch
  dispatcher: Dispatcher
  directory: Pick<EntryDirectory, 'peers'>
  announcement: Pick<EntryAnnouncement, 'isDone'>
  peers: Pick<PeerClients, 'status'>
  /** Longest wait for agents to find this entry, in ms. */
  warmUpMs: number
}

const CHECK_INTERVAL_MS = 100

/**
 * An entry is ready once it has the configuration in force, is known to the
 * others, and has as many agents as they have or has waited long enough for them.
 */
export class Readiness {
  private isWarmedUp = false
  private isStopping = false

  constructor (private readonly options: ReadinessOptions) {}

  /** True while requests should come here. */
  get isReady (): boolean {
    return this.isWarmedUp && this.options.watch.isLoaded && !this.isStopping
  }

  /** Takes the entry out of the balancer. */
  stop (): void {
    this.isStopping = true
  }

  /** Resolves once the entry is ready for the first time. */
  async warmUp (): Promise<void> {
    const { clock, watch, announcement, warmUpMs } = this.options
    const until = clock.now() + warmUpMs
    while (!watch.isLoaded || !announcement.isDone || (clock.now() < until && !await this.hasAsManyAgentsAsPeers())) await clock.sleep(CHECK_INTERVAL_MS)
    this.isWarmedUp = true
  }

  private async hasAsManyAgentsAsPeers (): Promise<boolean> {
    const own = this.options.dispatcher.knownAgents.length
    if (own === 0) return false
    const answers = await Promise.all(this.options.directory.peers.map(({ sessionAddress }) =>
      this.options.peers.status(sessionAddress)))
    return answers.every((answer) => answer === undefined || answer.endpoints.length <= own)
  }
}
