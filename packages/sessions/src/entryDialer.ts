import { createBackoff, createLogger } from '@hazellift/common'
import type { Clock, Random } from '@hazellift/common'

/** What the dialer needs. */
export interface EntryDialerOptions {
  clock: Clock
  random: Random
  seeds: string[]
  /** Holds one session until it ends. */
  dial: (address: string, signal: AbortSignal) => Promise<void>
}

const BACKOFF = { baseMs: 50, maxMs: 2000 }
/** A session that lasted this long counts as a success, so that the next dial is quick again. */
const STABLE_MS = 2000
/** A dial that has not failed for so long has a session. */
const LASTING_MS = 700
/** Dials that fail one after the other before an entry that no other entry lists is given up. */
const GIVE_UP_FAILURES = 8

const log = createLogger('agent:dialer')

/**
 * Holds a session with every live entry: the seeds at first, then those that
 * any entry lists.
 */
export class EntryDialer {
  private readonly dialing = new Set<string>()
  private listed: Set<string>
  private readonly seeds: Set<string>
  private readonly lasting = new Set<string>()
  private readonly controller = new AbortController()

  constructor (private readonly options: EntryDialerOptions) {
    this.seeds = new Set(options.seeds)
    this.listed = new Set(options.seeds)
  }

  /** Dials the seeds. */
  start (): void {
    for (const address of this.seeds) this.add(address)
  }

  /** Sessions that have lasted for a while. */
  get openSessions (): number {
    return this.lasting.size
  }

  /** Further addresses to begin with. */
  addSeeds (addresses: string[]): void {
    for (const address of addresses) this.seeds.add(address)
    this.onEntries([...this.listed, ...addresses])
  }

  /** An entry told which ones live. */
  onEntries (addresses: string[]): void {
    this.listed = new Set([...this.seeds, ...addresses])
    for (const address of addresses) this.add(address)
  }

  /** Ends all sessions. */
  stop (): void {
    this.controller.abort()
  }

  private add (address: string): void {
    if (this.dialing.has(address) || this.controller.signal.aborted) return
    this.dialing.add(address)
    void this.hold(address)
  }

  private async hold (address: string): Promise<void> {
    const { clock, random, dial } = this.options
    const backoff = createBackoff(BACKOFF, random)
    let failures = 0
    while (!this.controller.signal.aborted && !this.isGivenUp(address, failures)) {
      const startedAt = clock.now()
      const cancelLasting = clock.after(LASTING_MS, () => this.lasting.add(address))
      await dial(address, this.controller.signal)
      cancelLasting()
      this.lasting.delete(address)
      failures = clock.now() - startedAt > STABLE_MS ? 1 : failures + 1
      await clock.sleep(backoff(failures))
    }
    this.dialing.delete(address)
    log('entry_dropped', { address })
  }

  private isGivenUp (address: string, failures: number): boolean {
    return failures >= GIVE_UP_FAILURES && !this.listed.has(address)
  }
}
