import type { Clock } from './clock.js'

/** A stretch of time that the steady clock may not have counted. */
export interface Suspension {
  /** What the time of day has gained on the steady clock; below 0 if it was set back meanwhile. */
  gainedMs: number
  /** Steady time since the look before. */
  steadyMs: number
  /** The time since the system's start has gained as well: no mere step of the time of day. */
  isCertain: boolean
}

/**
 * Differences up to this are the coarseness of the readings. Slewing a clock moves
 * the steady one alike; whatever is left does not add up, as each look begins anew.
 */
const TOLERANCE_MS = 25
/** The clocks are read again where the process was held up between the readings for longer than this. */
const MAX_READING_MS = 1
const MAX_READINGS = 3

/**
 * Finds out that the process may have been suspended, for which the steady clock
 * stands still and the time of day does not.
 *
 * A step of the time of day ahead looks the same: whoever listens must treat it as
 * a doubt, unless it is certain. A step back alone tells nothing. One that hides a
 * suspension, to within the tolerance, is not noticed.
 */
export class SuspensionWatch {
  private readonly listeners = new Set<(suspension: Suspension) => void>()
  private checkedAt: number
  private wallOffsetMs: number
  private bootOffsetMs: number | undefined

  /**
   * @param clock - the steady one, the time of day and, where there is one, the time since the system's start
   */
  constructor (private readonly clock: Pick<Clock, 'now' | 'wallNow' | 'bootNow'>) {
    const { steadyMs, aheadMs } = this.readClocks()
    this.checkedAt = steadyMs
    this.wallOffsetMs = aheadMs
    this.bootOffsetMs = this.readBootOffset()
  }

  /** Calls `fn` within the look that notices a suspension. */
  onSuspended (fn: (suspension: Suspension) => void): void {
    this.listeners.add(fn)
  }

  /** Compares the clocks; to be called before whatever rests on elapsed time. */
  check (): void {
    const { steadyMs, aheadMs } = this.readClocks()
    const gainedMs = aheadMs - this.wallOffsetMs
    const sinceMs = steadyMs - this.checkedAt
    this.wallOffsetMs = aheadMs
    this.checkedAt = steadyMs
    if (Math.abs(gainedMs) <= TOLERANCE_MS) return
    const isCertain = this.hasBootClockGained()
    if (gainedMs < 0 && !isCertain) return
    for (const fn of this.listeners) fn({ gainedMs, steadyMs: sinceMs, isCertain })
  }

  /** Pauses between the readings would look like a gain, or hide one. */
  private readClocks (): { steadyMs: number, aheadMs: number } {
    for (let readings = 1; ; readings++) {
      const before = this.clock.now()
      const day = this.clock.wallNow()
      const steadyMs = this.clock.now()
      if (steadyMs - before <= MAX_READING_MS || readings === MAX_READINGS) return { steadyMs, aheadMs: day - steadyMs }
    }
  }

  /** Read only where the other clocks differ, as it costs a file; it can confirm a suspension, and never deny one. */
  private hasBootClockGained (): boolean {
    const before = this.bootOffsetMs
    this.bootOffsetMs = this.readBootOffset()
    return before !== undefined && this.bootOffsetMs !== undefined && this.bootOffsetMs - before > TOLERANCE_MS
  }

  private readBootOffset (): number | undefined {
    const boot = this.clock.bootNow?.()
    return boot === undefined ? undefined : boot - this.clock.now()
  }
}
