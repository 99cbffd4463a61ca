/** Share of each look in the figure: a single pause, as of the collector of garbage or at the start, says little. */
const SMOOTHING_FACTOR = 1 / 16
/** A pause counts no more than this. */
const MAX_SAMPLE_MS = 100

/** How late a process's event loop is, by a timer that should fire at a pace. */
export class LoopLag {
  private lastTickAt: number | undefined
  private smoothedMs = 0

  /**
   * @param intervalMs - between two calls of `onTick`, as asked for
   */
  constructor (private readonly intervalMs: number) {}

  /** In ms; 0 at first. */
  get ms (): number {
    return this.smoothedMs
  }

  /** The timer has fired. */
  onTick (now: number): void {
    if (this.lastTickAt !== undefined) {
      const lateMs = Math.min(MAX_SAMPLE_MS, Math.max(0, now - this.lastTickAt - this.intervalMs))
      this.smoothedMs += (lateMs - this.smoothedMs) * SMOOTHING_FACTOR
    }
    this.lastTickAt = now
  }
}
