import { needsHelp } from '@hazellift/decisions'
import type { OriginView } from '@hazellift/decisions'

/** A moment of it calls for nothing. */
const SHORT_FOR_MS = 300
/** Streams to neighbours are kept for so long after the need. */
const LINGER_MS = 5000
/** Where nothing could be handed on for so long, the others are no better off: streams are ended, and tried again later. */
const TRY_MS = 2000
const REST_MS = 10_000

/** Whether an entry runs short, for longer than a moment, and whether its neighbours can help. */
export class ShortWatch {
  private isShortNow = false
  private since = 0
  private lastAt = -Infinity
  private triedFrom = -Infinity
  private usefulAt = -Infinity
  private restsUntil = -Infinity

  /** Looks at what the entry observes of itself; to be called a few tens of times a second. */
  look (own: OriginView, now: number): void {
    const was = this.isShortNow
    this.isShortNow = needsHelp(own, was)
    if (this.isShortNow && !was) this.since = now
    if (!this.isShort(now)) return
    if (!this.wantsPeers(now)) this.triedFrom = now
    this.lastAt = now
    if (now - Math.max(this.triedFrom, this.since, this.usefulAt) > TRY_MS) this.restsUntil = now + REST_MS
  }

  /** A job was handed on. */
  onHandedOn (now: number): void {
    this.usefulAt = now
  }

  /** True while work is to be handed on. */
  isShort (now: number): boolean {
    return this.isShortNow && now - this.since >= SHORT_FOR_MS
  }

  /** True while streams to neighbours are worth what they cost. */
  wantsPeers (now: number): boolean {
    return now >= this.restsUntil && now - this.lastAt < LINGER_MS
  }
}
