/**
 * Collects the parts of frames that are ready together. The consumer iterates;
 * while it is busy with one frame, further parts merge into the next.
 */
export class Outbox<Frame extends object> implements AsyncIterable<Frame> {
  private pending: Frame | undefined
  private wake: (() => void) | undefined
  private closed = false

  /**
   * @param empty - makes a frame with nothing in it
   * @param yieldTurn - resolves after the events that are ready now; lets their parts join the frame
   */
  constructor (
    private readonly empty: () => Frame,
    private readonly yieldTurn: () => Promise<void>
  ) {}

  /**
   * Adds to the next frame.
   *
   * @param add - changes the frame in place
   */
  add (add: (frame: Frame) => void): void {
    if (this.closed) return
    this.pending ??= this.empty()
    add(this.pending)
    this.wake?.()
  }

  /** Ends the iteration once what is pending was taken. */
  close (): void {
    this.closed = true
    this.wake?.()
  }

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
