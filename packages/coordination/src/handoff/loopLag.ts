/** Weight of each sample; low, as a single pause, such as a garbage collection or one at process start, is no sign of overload. */
const SMOOTHING_FACTOR = 1 / 16
/** A longer delay counts as this much. */
const MAX_SAMPLE_MS = 100

/** Measures how late a process's event loop is, by the delay of a periodic timer. */
export class LoopLag {
  private lastTickAt: number | undefined
  private smoothedMs = 0

  /**
   * @param intervalMs - the timer's nominal interval, at which `onTick` is to be called
   */
  constructor (private readonly intervalMs: number) {}

  /** The smoothed delay in ms; 0 until the second tick. */
  get ms (): number {
    return this.smoothedMs
  }

  /**
   * Adds a sample; to be called each time the timer fires.
   *
   * @param now - in ms, on the process's clock
   */
  onTick (now: number): void {
    if (this.lastTickAt !== undefined) {
      const lateMs = Math.min(MAX_SAMPLE_MS, Math.max(0, now - this.lastTickAt - this.intervalMs))
      this.smoothedMs += (lateMs - this.smoothedMs) * SMOOTHING_FACTOR
    }
    this.lastTickAt = now
  }
}
