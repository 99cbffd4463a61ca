import { needsHelp } from '@hazellift/decisions'
import type { OriginView } from '@hazellift/decisions'

/** A shorter overload is no reason to hand jobs on. */
const MIN_OVERLOAD_MS = 300
/** Streams to neighbours stay open for this long after the overload. */
const STREAM_LINGER_MS = 5000
/**
 * If no job could be handed on for `TRIAL_MS`, the neighbours are overloaded
 * too: the streams are closed, and not opened again for `PAUSE_MS`.
 */
const TRIAL_MS = 2000
const PAUSE_MS = 10_000

/** Decides whether an entry is overloaded for long enough to hand jobs on, and whether streams to its neighbours are worth their cost. */
export class OverloadWatch {
  private needsHelpNow = false
  private needsHelpSince = 0
  private overloadedAt = -Infinity
  private trialSince = -Infinity
  private handedOnAt = -Infinity
  private pausedUntil = -Infinity

  /** Evaluates the entry's own load; to be called a few tens of times a second. */
  observe (ownLoad: OriginView, now: number): void {
    const neededHelp = this.needsHelpNow
    this.needsHelpNow = needsHelp(ownLoad, neededHelp)
    if (this.needsHelpNow && !neededHelp) this.needsHelpSince = now
    if (!this.isOverloaded(now)) return
    if (!this.needsStreams(now)) this.trialSince = now
    this.overloadedAt = now
    if (now - Math.max(this.trialSince, this.needsHelpSince, this.handedOnAt) > TRIAL_MS) this.pausedUntil = now + PAUSE_MS
  }

  /** Records that a job was handed on, so the streams are of use. */
  onHandedOn (now: number): void {
    this.handedOnAt = now
  }

  /** True while jobs should be handed on: the entry has needed help, by `needsHelp`, for at least `MIN_OVERLOAD_MS`. */
  isOverloaded (now: number): boolean {
    return this.needsHelpNow && now - this.needsHelpSince >= MIN_OVERLOAD_MS
  }

  /** True while streams to neighbours should be open. */
  needsStreams (now: number): boolean {
    return now >= this.pausedUntil && now - this.overloadedAt < STREAM_LINGER_MS
  }
}
