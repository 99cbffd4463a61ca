import { needsHelp } from '@hazellift/decisions'
import type { OriginView } from '@hazellift/decisions'

/** A moment of it calls for nothing. */
const MIN_OVERLOAD_MS = 300
/** Streams to neighbours are kept for so long after the need. */
const STREAM_LINGER_MS = 5000
/** Where nothing could be handed on for so long, the others are no better off: streams are ended, and tried again later. */
const TRIAL_MS = 2000
const PAUSE_MS = 10_000

/** Whether an entry runs short, for longer than a moment, and whether its neighbours can help. */
export class OverloadWatch {
  private needsHelpNow = false
  private needsHelpSince = 0
  private overloadedAt = -Infinity
  private trialSince = -Infinity
  private handedOnAt = -Infinity
  private pausedUntil = -Infinity

  /** Looks at what the entry observes of itself; to be called a few tens of times a second. */
  observe (ownLoad: OriginView, now: number): void {
    const neededHelp = this.needsHelpNow
    this.needsHelpNow = needsHelp(ownLoad, neededHelp)
    if (this.needsHelpNow && !neededHelp) this.needsHelpSince = now
    if (!this.isOverloaded(now)) return
    if (!this.needsStreams(now)) this.trialSince = now
    this.overloadedAt = now
    if (now - Math.max(this.trialSince, this.needsHelpSince, this.handedOnAt) > TRIAL_MS) this.pausedUntil = now + PAUSE_MS
  }

  /** A job was handed on. */
  onHandedOn (now: number): void {
    this.handedOnAt = now
  }

  /** True while work is to be handed on. */
  isOverloaded (now: number): boolean {
    return this.needsHelpNow && now - this.needsHelpSince >= MIN_OVERLOAD_MS
  }

  /** True while streams to neighbours are worth what they cost. */
  needsStreams (now: number): boolean {
    return now >= this.pausedUntil && now - this.overloadedAt < STREAM_LINGER_MS
  }
}
