import type { Clock } from './clock.js'

/** A period that the steady clock may not have counted. */
export interface Suspension {
  /** How much further the wall clock advanced than the steady clock, in ms; negative if it was also set back. */
  gainedMs: number
  /** Time since the previous check by the steady clock, in ms. */
  steadyMs: number
  /** True if the time since boot gained as well, which a step of the wall clock does not cause. */
  isCertain: boolean
}

/**
 * Differences up to this come from coarse clock readings. Slewing changes the steady
 * clock alike, and other drift does not add up, as each check compares with the previous one.
 */
const TOLERANCE_MS = 25
/** The clocks are read again if the process was delayed for longer than this between the readings. */
const MAX_READING_MS = 1
const MAX_READINGS = 3

/**
 * Detects that the process may have been suspended: the steady clock stops during a
 * suspension and the wall clock does not.
 *
 * A forward step of the wall clock looks the same, so unless `isCertain` is set, a
 * listener can only regard what depends on elapsed time as unverified. A backward step
 * alone is not reported. One that equals a suspension, to within the tolerance, hides it.
 */
export class SuspensionWatch {
  private readonly listeners = new Set<(suspension: Suspension) => void>()
  private checkedAt: number
  private wallOffsetMs: number
  private bootOffsetMs: number | undefined

  /**
   * @param clock - the steady clock, the wall clock and, where available, the time since boot
   */
  constructor (private readonly clock: Pick<Clock, 'now' | 'wallNow' | 'bootNow'>) {
    const { steadyMs, offsetMs } = this.readClocks()
    this.checkedAt = steadyMs
    this.wallOffsetMs = offsetMs
    this.bootOffsetMs = this.readBootOffset()
  }

  /** Registers a listener; the check that detects a suspension calls it synchronously. */
  onSuspended (fn: (suspension: Suspension) => void): void {
    this.listeners.add(fn)
  }

  /** Compares the clocks. Call it before any decision that depends on elapsed time. */
  check (): void {
    const { steadyMs, offsetMs } = this.readClocks()
    const gainedMs = offsetMs - this.wallOffsetMs
    const elapsedMs = steadyMs - this.checkedAt
    this.wallOffsetMs = offsetMs
    this.checkedAt = steadyMs
    if (Math.abs(gainedMs) <= TOLERANCE_MS) return
    const isCertain = this.hasBootClockGained()
    if (gainedMs < 0 && !isCertain) return
    for (const fn of this.listeners) fn({ gainedMs, steadyMs: elapsedMs, isCertain })
  }

  /** Reads the clocks close together: a pause between the readings would look like a gain, or hide one. */
  private readClocks (): { steadyMs: number, offsetMs: number } {
    for (let readings = 1; ; readings++) {
      const before = this.clock.now()
      const wallMs = this.clock.wallNow()
      const steadyMs = this.clock.now()
      if (steadyMs - before <= MAX_READING_MS || readings === MAX_READINGS) return { steadyMs, offsetMs: wallMs - steadyMs }
    }
  }

  /**
   * Whether the time since boot gained on the steady clock. It is read only when the other
   * clocks differ, as each reading reads a file. It can confirm a suspension but not rule one out.
   */
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
