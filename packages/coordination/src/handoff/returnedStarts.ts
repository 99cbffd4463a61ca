/** Starts over which the figure is remembered. */
const DECAY_STARTS = 100

/** Which part of an entry's starts came back, as the room that it knew of was gone. */
export class ReturnedStarts {
  private smoothedShare = 0

  /** From 0 to 1. */
  get share (): number {
    return this.smoothedShare
  }

  /** So many starts were sent. */
  onSent (count: number): void {
    this.smoothedShare *= (1 - 1 / DECAY_STARTS) ** count
  }

  /** One of them found no room. */
  onReturned (): void {
    this.smoothedShare = Math.min(1, this.smoothedShare + 1 / DECAY_STARTS)
  }
}
