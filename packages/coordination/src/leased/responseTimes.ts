/** Weights of the newest response time in the mean and in the deviation, as in TCP's retransmission timer (RFC 6298). */
const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
/** The limit lies this many deviations above the mean, also as in RFC 6298. */
const DEVIATION_FACTOR = 4
/** Lower bound of the limit: garbage collection on either side takes a few milliseconds, and a shorter limit would repeat calls in vain. */
const MIN_LIMIT_MS = 10
/**
 * Upper bound of the limit. The run lease lasts for half a second and must survive
 * two lost polls in a row, so a call is repeated after this time on a slow machine, too; an
 * answer that arrives later counts.
 */
export const MAX_LIMIT_MS = 100
/** The limit before the first answer; each call lost before then doubles it. */
const FIRST_LIMIT_MS = 30

/** Adaptive time limit for an endpoint's answers, learned from its response times: a call without an answer by then counts as lost. */
export class ResponseTimes {
  private meanMs: number | undefined
  private deviationMs = 0
  private firstLimitMs = FIRST_LIMIT_MS

  /**
   * An answer has arrived, within the limit or later.
   *
   * @param ms - time from the call to its answer, less the time that the endpoint was asked to wait
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

  /** A call had no answer within the limit. The learned response times stay as they are, as calls to a fast endpoint can get lost, too. */
  onLost (): void {
    this.firstLimitMs = Math.min(MAX_LIMIT_MS, 2 * this.firstLimitMs)
  }

  /** How long to wait for the next answer, in ms. */
  get limitMs (): number {
    if (this.meanMs === undefined) return this.firstLimitMs
    return Math.min(MAX_LIMIT_MS, Math.max(MIN_LIMIT_MS, this.meanMs + DEVIATION_FACTOR * this.deviationMs))
  }
}
