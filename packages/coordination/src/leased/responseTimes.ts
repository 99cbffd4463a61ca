/** Weights of the newest answer in the mean and in the deviation, as TCP's retransmission timeout has them (RFC 6298). */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
/** So many deviations above the mean are allowed for, from the same source. */
const DEVIATION_FACTOR = 4
/** A collection of garbage on either side takes a few milliseconds; waiting less would only repeat calls in vain. */
const MIN_LIMIT_MS = 10
/** What is left unanswered for so long was lost, however slow the machine: holds last for half a second, and two in a row may get lost. */
export const MAX_LIMIT_MS = 100
/** Before the first answer; each call that is lost before it doubles this. */
const FIRST_LIMIT_MS = 30

/** How long an answer of an endpoint may take before the call counts as lost, learned from those that came. */
export class ResponseTimes {
  private meanMs: number | undefined
  private deviationMs = 0
  private firstLimitMs = FIRST_LIMIT_MS

  /**
   * An answer has come, in time or late.
   *
   * @param ms - from the call to its answer, less what the answer was asked to wait
   */
  observe (ms: number): void {
    if (this.meanMs === undefined) {
      this.meanMs = ms
      this.deviationMs = ms / 2
      return
    }
    this.deviationMs += (Math.abs(ms - this.meanMs) - this.deviationMs) * DEVIATION_WEIGHT
    this.meanMs += (ms - this.meanMs) * MEAN_WEIGHT
  }

  /** A call had no answer within the limit. What is known of the endpoint's answers stays: calls may get lost at a quick one. */
  onLost (): void {
    this.firstLimitMs = Math.min(MAX_LIMIT_MS, 2 * this.firstLimitMs)
  }

  /** How long to wait for an answer, in ms. */
  get limitMs (): number {
    if (this.meanMs === undefined) return this.firstLimitMs
    return Math.min(MAX_LIMIT_MS, Math.max(MIN_LIMIT_MS, this.meanMs + DEVIATION_FACTOR * this.deviationMs))
  }
}
