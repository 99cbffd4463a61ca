/** Tasks whose last number is remembered: some minutes of an agent's work, in about a megabyte. */
const MAX_REMEMBERED = 5000

/**
 * Numbers the runs of each task at an endpoint, upwards. Numbers that an
 * earlier process of the agent used, or that were forgotten here, are not known;
 * they are stepped over in growing steps, a further try each.
 */
export class RunNumbers {
  private readonly lastOf = new Map<string, number>()

  /** @param maxRemembered - tasks that are remembered; those numbered longest ago are forgotten first */
  constructor (private readonly maxRemembered = MAX_REMEMBERED) {}

  /** Tasks that are remembered. */
  get size (): number {
    return this.lastOf.size
  }

  /**
   * The number of the next run.
   *
   * @param task - its name at the endpoint
   * @param tries - numbers that the endpoint has turned away for this run
   */
  next (task: string, tries: number): number {
    const run = (this.lastOf.get(task) ?? 0) + 2 ** tries
    // Set anew, so that the map's order is that of use.
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
