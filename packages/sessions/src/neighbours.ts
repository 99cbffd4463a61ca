import type { Clock } from '@hazellift/common'
import { chooseSubset } from '@hazellift/decisions'
import type { EntryLocation, SubsetLimits } from '@hazellift/decisions'

/** What the choice of neighbours needs. */
export interface NeighboursOptions {
  clock: Clock
  zone: string
  /** Score of an entry for this one; the highest are preferred. */
  score: (address: string) => number
  /** All other entries that are known. */
  others: () => EntryLocation[]
  /** True while streams are called for. */
  needsStreams: () => boolean
  /** Jobs that neighbours have. */
  outstandingJobs: () => number
  /** Holds one stream until it ends. */
  dial: (entry: EntryLocation, signal: AbortSignal) => Promise<void>
}

/** Each costs both sides some frames a second while it stands. */
const LIMITS: SubsetLimits = { near: 1, far: 2 }
/** A neighbour whose stream ended is left alone for so long; another one is tried meanwhile. */
const REDIAL_DELAY_MS = 2000

/** Streams of an entry to some others, while it has work to hand on; none at other times. */
export class Neighbours {
  private readonly streams = new Map<string, AbortController>()
  private readonly endedAt = new Map<string, number>()

  constructor (private readonly options: NeighboursOptions) {}

  /** Streams that stand or are being dialled. */
  get size (): number {
    return this.streams.size
  }

  /** Begins what is wanted, ends what is not; to be called a few tens of times a second. */
  sweep (): void {
    const { needsStreams: isWanted, outstandingJobs: outstanding, others, zone, score } = this.options
    if (!isWanted()) {
      if (this.streams.size > 0 && outstanding() === 0) this.stop()
      return
    }
    if (this.streams.size >= LIMITS.near + LIMITS.far) return
    const entries = others()
    const wanted = chooseSubset(entries, { zone, score, isUnreachable: (address) => this.hasEndedRecently(address) }, LIMITS)
    for (const entry of entries) if (wanted.has(entry.address) && !this.hasEndedRecently(entry.address)) this.openStream(entry)
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
