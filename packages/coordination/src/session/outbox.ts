/**
 * Merges changes that are ready at the same time into one frame. The consumer
 * iterates over the frames; changes made while it handles one go into the next.
 */
export class Outbox<Frame extends object> implements AsyncIterable<Frame> {
  private pending: Frame | undefined
  private wake: (() => void) | undefined
  private closed = false

  /**
   * @param createFrame - creates an empty frame
   * @param yieldTurn - resolves once the events that are ready now were handled, so that their changes go into the same frame
   */
  constructor (
    private readonly createFrame: () => Frame,
    private readonly yieldTurn: () => Promise<void>
  ) {}

  /**
   * Changes the next frame, and has it sent. Does nothing after `close`.
   *
   * @param change - changes the frame in place
   */
  add (change: (frame: Frame) => void): void {
    if (this.closed) return
    this.pending ??= this.createFrame()
    change(this.pending)
    this.wake?.()
  }

  /** Ends the iteration once the pending frame was taken. */
  close (): void {
    this.closed = true
    this.wake?.()
  }

  /** The frames, each as soon as it has a change; for one consumer. */
  async * [Symbol.asyncIterator] (): AsyncGenerator<Frame> {
    while (true) {
      if (this.pending === undefined) {
        if (this.closed) return
        await new Promise<void>((resolve) => { this.wake = resolve })
        this.wake = undefined
        continue
      }
      await this.yieldTurn()
      const frame = this.pending
      this.pending = undefined
      yield frame
    }
  }
}
