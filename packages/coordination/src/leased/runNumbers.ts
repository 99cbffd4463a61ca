/** Number of tasks whose last run number is remembered: some minutes of an agent's work, in about a megabyte. */
const MAX_REMEMBERED = 5000

/**
 * Assigns ascending numbers to the runs of each task at an endpoint. Numbers that
 * an earlier process of the agent used, or that this one has forgotten, are unknown:
 * the endpoint rejects them, and each further try skips twice as many numbers.
 */
export class RunNumbers {
  private readonly lastOf = new Map<string, number>()

  /** @param maxRemembered - number of tasks to remember; the ones numbered longest ago are forgotten first */
  constructor (private readonly maxRemembered = MAX_REMEMBERED) {}

  /** Number of tasks that are remembered. */
  get size (): number {
    return this.lastOf.size
  }

  /**
   * Assigns the number of the next run.
   *
   * @param task - the task's name at the endpoint
   * @param tries - how many numbers the endpoint has rejected for this run
   */
  next (task: string, tries: number): number {
    const run = (this.lastOf.get(task) ?? 0) + 2 ** tries
    // Deleted first, so that the map's order is the order of use.
    this.lastOf.delete(task)
    this.lastOf.set(task, run)
    if (this.lastOf.size > this.maxRemembered) this.forgetOldest()
    return run
  }

  private forgetOldest (): void {
    const [oldest] = this.lastOf.keys()
    this.lastOf.delete(oldest!)
  }
}
