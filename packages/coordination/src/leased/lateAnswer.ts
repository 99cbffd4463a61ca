/**
 * The late answer to any copy of a call that is repeated because it had none in time. An
 * endpoint whose answers all take longer than the time limit of a call would otherwise
 * never have answered any.
 */
export class LateAnswer<T> {
  private resolve: (answer: T) => void = () => {}
  private readonly answer = new Promise<T>((resolve) => { this.resolve = resolve })

  /** An earlier copy was answered. */
  arrive (answer: T): void {
    this.resolve(answer)
  }

  /** Resolves with the outcome of this copy, or with the late answer to an earlier one, whichever is there first. */
  orEarlier (outcome: Promise<T>): Promise<T> {
    return Promise.race([this.answer, outcome])
  }
}
