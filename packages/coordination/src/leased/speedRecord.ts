import type { Clock } from '@hazellift/common'

/** A run in progress at an agent. */
export interface RunInProgress {
  /** When its start was ordered, on the agent's clock. */
  startedAt: number
  /** Expected run time; 0 if unknown. */
  expectedMs: number
}

/** Weight of the newest run: after five slow runs in a row, the slowness is close to theirs. */
const WEIGHT = 0.35
/** Without new runs, half of the deviation from 1 decays in this time, so that a slow endpoint is tried again. */
const HALF_LIFE_MS = 2000
/** A run is overdue after this many times its expected time; a shorter excess says little about the endpoint. */
const OVERDUE_FACTOR = 2

/** Estimates the endpoint's slowness, the ratio of actual to expected run times, from finished and overdue runs. */
export class SpeedRecord {
  private slowness = 1
  private updatedAt: number

  constructor (private readonly clock: Pick<Clock, 'now'>) {
    this.updatedAt = clock.now()
  }

  /** Records a run that has succeeded; ignored if its expected time is unknown. */
  observe (runMs: number, expectedMs: number): void {
    if (expectedMs <= 0) return
    this.slowness = this.current + (runMs / expectedMs - this.current) * WEIGHT
    this.updatedAt = this.clock.now()
  }

  /**
   * The current slowness; 1 is as expected.
   *
   * @param running - runs in progress
   */
  read (running: RunInProgress[]): number {
    const now = this.clock.now()
    const overdue = running
      .map(({ startedAt, expectedMs }) => expectedMs > 0 ? (now - startedAt) / expectedMs : 0)
      .filter((ratio) => ratio > OVERDUE_FACTOR)
    // A single overdue run may be caused by its own task.
    if (overdue.length < 2) return this.current
    return Math.max(this.current, Math.min(...overdue))
  }

  private get current (): number {
    const halves = (this.clock.now() - this.updatedAt) / HALF_LIFE_MS
    return 1 + (this.slowness - 1) * 0.5 ** halves
  }
}
