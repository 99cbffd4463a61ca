import type { Clock } from '@hazellift/common'

/** A run in progress, as its agent sees it. */
export interface RunInProgress {
  startedAt: number
  expectedMs: number
}

/** Weight of the newest run: after five slow ones in a row the figure is near theirs. */
const WEIGHT = 0.35
/** Without new runs the figure returns to 1 by half in this time, so that a slow endpoint is tried again. */
const HALF_LIFE_MS = 2000
/** A run is overdue after this many times its expected time; before, its length says little. */
const OVERDUE_FACTOR = 2

/** How slow the endpoint is against expected run times, by runs that ended and by those that should have. */
export class SpeedRecord {
  private slowness = 1
  private updatedAt: number

  constructor (private readonly clock: Pick<Clock, 'now'>) {
    this.updatedAt = clock.now()
  }

  /** A run was done. */
  observe (runMs: number, expectedMs: number): void {
    if (expectedMs <= 0) return
    this.slowness = this.current + (runMs / expectedMs - this.current) * WEIGHT
    this.updatedAt = this.clock.now()
  }

  /** The figure now; 1 is as expected. */
  read (running: RunInProgress[]): number {
    const now = this.clock.now()
    const overdue = running
      .map(({ startedAt, expectedMs }) => expectedMs > 0 ? (now - startedAt) / expectedMs : 0)
      .filter((ratio) => ratio > OVERDUE_FACTOR)
    // One overdue run may be its own fault.
    if (overdue.length < 2) return this.current
    return Math.max(this.current, Math.min(...overdue))
  }

  private get current (): number {
    const halves = (this.clock.now() - this.updatedAt) / HALF_LIFE_MS
    return 1 + (this.slowness - 1) * 0.5 ** halves
  }
}
