/** Number of starts over which the share decays. */
const DECAY_STARTS = 100

/** Share of an entry's recent starts that agents returned because the free capacity that the entry knew of had been taken. */
export class ReturnedStarts {
  private smoothedShare = 0

  /** From 0 to 1. */
  get share (): number {
    return this.smoothedShare
  }

  /** Counts starts that were sent. */
  onSent (count: number): void {
    this.smoothedShare *= (1 - 1 / DECAY_STARTS) ** count
  }

  /** Counts a start that was returned for lack of capacity. */
  onReturned (): void {
    this.smoothedShare = Math.min(1, this.smoothedShare + 1 / DECAY_STARTS)
  }
}
