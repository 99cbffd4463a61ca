/** Weight of the newest run in the average. */
const NEWEST_WEIGHT = 0.05
/** Assumed while nothing is known, in ms. */
const ASSUMED_RUN_MS = 100

/** Run times learned from observed ends, by kind: callers' guesses are far off. */
export class RunTimes {
  private readonly ratios = new Map<string, number>()
  private readonly means = new Map<string, number>()

  /**
   * Learns from a run that ended well.
   *
   * @param estimateMs - what the caller had guessed; 0 for none
   */
  observe (kind: string, estimateMs: number, runMs: number): void {
    this.updateAverage(this.means, kind, runMs)
    if (estimateMs > 0) this.updateAverage(this.ratios, kind, runMs / estimateMs)
  }

  /** Expected run time in ms. */
  expect (kind: string, estimateMs: number): number {
    if (estimateMs === 0) return this.means.get(kind) ?? ASSUMED_RUN_MS
    return estimateMs * (this.ratios.get(kind) ?? 1)
  }

  private updateAverage (averages: Map<string, number>, kind: string, value: number): void {
    const average = averages.get(kind)
    averages.set(kind, average === undefined ? value : average + (value - average) * NEWEST_WEIGHT)
  }
}
