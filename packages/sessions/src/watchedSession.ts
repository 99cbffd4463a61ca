import { CHECK_INTERVAL_MS, PROBE_TIMEOUT_MS } from './constants.js'
import type { MonitoredSession, Silence } from './types.js'

/**
 * For this time after a suspicion that proved wrong, the session is not suspected
 * again, in ms: an overloaded peer would otherwise get a new connection for each pause.
 */
const FALSE_ALARM_PAUSE_MS = 5000
/** Half-life of how late the frames of a session were, in ms: overload lasts for seconds. */
const LATENESS_HALF_LIFE_MS = 5000

/** A session with what the monitor knows of it; times on the monitor's clock. */
export class WatchedSession {
  sentAt: number
  receivedAt: number
  isSuspected = false
  /** Longest silence that was not suspicious since the last received frame, in ms. */
  private allowedMs = 0
  /** How much later than that frames have come lately, in ms, as of `lateAt`. */
  private lateMs = 0
  private lateAt = -Infinity
  /** When a probe was sent that no received frame has followed yet. */
  private probedAt: number | undefined
  private mayBeSuspectedFrom = -Infinity

  constructor (readonly session: MonitoredSession, now: number) {
    this.sentAt = now
    this.receivedAt = now
  }

  onReceived (now: number): void {
    // The other side's interval is a check shorter than the silence that is allowed.
    const lateMs = this.allowedMs > 0 ? now - this.receivedAt - this.allowedMs + CHECK_INTERVAL_MS : 0
    this.lateMs = Math.max(this.latenessMs(now), lateMs)
    this.lateAt = now
    this.allowedMs = 0
    this.receivedAt = now
    if (this.isSuspected) this.mayBeSuspectedFrom = now + FALSE_ALARM_PAUSE_MS
    this.isSuspected = false
    this.probedAt = undefined
  }

  /** Sends a probe, unless there is no answer yet to an earlier one; returns true if it did. */
  probe (now: number): boolean {
    if (this.isSuspected || this.probedAt !== undefined) return false
    this.probedAt = now
    this.session.sendProbe?.()
    return true
  }

  /**
   * True if the silence, or that after a probe, lasts longer than the other side needs even
   * if it is as late as lately: for an entry under load another connection is one more burden.
   */
  isSuspicious (now: number, suspectMs: number): boolean {
    this.allowedMs = Math.max(this.allowedMs, suspectMs)
    const latenessMs = this.latenessMs(now)
    const isProbeUnanswered = this.probedAt !== undefined && now - this.probedAt >= PROBE_TIMEOUT_MS + latenessMs
    return isProbeUnanswered || now - this.receivedAt >= suspectMs + latenessMs
  }

  private latenessMs (now: number): number {
    return this.lateMs > 0 ? this.lateMs * 0.5 ** ((now - this.lateAt) / LATENESS_HALF_LIFE_MS) : 0
  }

  suspect (now: number, silence: Silence): void {
    if (this.isSuspected || now < this.mayBeSuspectedFrom || this.session.isReplaceable?.() !== true) return
    this.isSuspected = true
    this.session.onSuspected?.(silence)
  }
}
