/** Weight of the newest run in the moving average. */
const NEWEST_WEIGHT = 0.05
/** Expected run time of a kind that has not been observed, if the caller gave no estimate; in ms. */
const ASSUMED_RUN_MS = 100

/** Expected run times by kind, learned from finished runs because callers' estimates are far off. */
export class RunTimes {
  private readonly ratios = new Map<string, number>()
  private readonly means = new Map<string, number>()

  /**
   * Learns from a successful run.
   *
   * @param kind - kind of the task
   * @param estimateMs - the caller's estimate; 0 for none
   * @param runMs - measured run time
   */
  observe (kind: string, estimateMs: number, runMs: number): void {
    this.updateAverage(this.means, kind, runMs)
    if (estimateMs > 0) this.updateAverage(this.ratios, kind, runMs / estimateMs)
  }

  /**
   * Returns the expected run time in ms.
   *
   * @param kind - kind of the task
   * @param estimateMs - the caller's estimate, corrected by the usual error for the kind; 0 for none
   */
  expect (kind: string, estimateMs: number): number {
    if (estimateMs === 0) return this.means.get(kind) ?? ASSUMED_RUN_MS
    return estimateMs * (this.ratios.get(kind) ?? 1)
  }

  private updateAverage (averages: Map<string, number>, kind: string, value: number): void {
    const average = averages.get(kind)
    averages.set(kind, average === undefined ? value : average + (value - average) * NEWEST_WEIGHT)
  }
}
