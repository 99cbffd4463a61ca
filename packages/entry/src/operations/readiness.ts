import type { Clock } from '@hazellift/common'
import type { ConfigWatch, Dispatcher, EntryAnnouncement, EntryDirectory } from '@hazellift/coordination'
import type { PeerClients } from '../peers/peerClients.js'

/** Dependencies and settings of readiness. */
export interface ReadinessOptions {
  clock: Clock
  watch: ConfigWatch
  dispatcher: Dispatcher
  directory: Pick<EntryDirectory, 'peers'>
  announcement: Pick<EntryAnnouncement, 'isDone'>
  peers: Pick<PeerClients, 'status'>
  /** Longest wait for agents to connect to this entry, in ms. */
  warmUpMs: number
}

const CHECK_INTERVAL_MS = 100

/**
 * Decides whether the entry is ready for requests: it has loaded the configuration, is known to the other
 * entries, and has as many agents as each of them or has waited `warmUpMs` for them.
 */
export class Readiness {
  private isWarmedUp = false
  private isStopping = false

  constructor (private readonly options: ReadinessOptions) {}

  /** True while a balancer should send requests to this entry. */
  get isReady (): boolean {
    return this.isWarmedUp && this.options.watch.isLoaded && !this.isStopping
  }

  /** Reports the entry as not ready from now on, so that balancers stop sending requests to it. */
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
