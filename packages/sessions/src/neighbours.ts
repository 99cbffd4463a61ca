import type { Clock } from '@hazellift/common'
import { chooseSubset } from '@hazellift/decisions'
import type { EntryLocation, SubsetLimits } from '@hazellift/decisions'

/** Dependencies of the streams to neighbours. */
export interface NeighboursOptions {
  clock: Clock
  /** This entry's availability zone. */
  zone: string
  /** Rendezvous score of another entry for this one; the highest are chosen. */
  score: (address: string) => number
  /** All other known entries. */
  others: () => EntryLocation[]
  /** True while this entry needs streams to hand jobs on. */
  needsStreams: () => boolean
  /** Number of jobs that neighbours have or may have. */
  outstandingJobs: () => number
  /** Runs one stream; resolves when it has ended. */
  dial: (entry: EntryLocation, signal: AbortSignal) => Promise<void>
}

/** Each open stream costs both sides several frames a second. */
const LIMITS: SubsetLimits = { near: 1, far: 2 }
/** Delay before a neighbour whose stream ended is dialled again, in ms; another one is tried in the meantime. */
const REDIAL_DELAY_MS = 2000

/** Keeps streams to a few other entries open while this entry has jobs to hand on (forward to them), and none at other times. */
export class Neighbours {
  private readonly streams = new Map<string, AbortController>()
  private readonly endedAt = new Map<string, number>()

  constructor (private readonly options: NeighboursOptions) {}

  /** Number of streams that are open or being opened. */
  get size (): number {
    return this.streams.size
  }

  /** Opens missing streams, or ends all once they are not needed and no job is outstanding; to be called a few tens of times a second. */
  sweep (): void {
    const { needsStreams, outstandingJobs, others, zone, score } = this.options
    if (!needsStreams()) {
      if (this.streams.size > 0 && outstandingJobs() === 0) this.stop()
      return
    }
    if (this.streams.size >= LIMITS.near + LIMITS.far) return
    const entries = others()
    const chosen = chooseSubset(entries, { zone, score, isUnreachable: (address) => this.hasEndedRecently(address) }, LIMITS)
    for (const entry of entries) if (chosen.has(entry.address) && !this.hasEndedRecently(entry.address)) this.openStream(entry)
  }

  /** Ends all streams. */
  stop (): void {
    for (const stream of this.streams.values()) stream.abort()
  }

  private openStream (entry: EntryLocation): void {
    const { address } = entry
    if (this.streams.has(address) || this.streams.size >= LIMITS.near + LIMITS.far) return
    const stream = new AbortController()
    this.streams.set(address, stream)
    void this.options.dial(entry, stream.signal).finally(() => {
      this.streams.delete(address)
      this.endedAt.set(address, this.options.clock.now())
    })
  }

  private hasEndedRecently (address: string): boolean {
    return this.options.clock.now() - (this.endedAt.get(address) ?? -Infinity) < REDIAL_DELAY_MS
  }
}
