/** Time over which load is remembered, by half in 0.7 of it: bursts last for seconds, and a queue for less. */
const MEMORY_MS = 1000
/** What is expected counts like so much time under load: an entry that got no room for a moment is not starved for good. */
const PRIOR_MS = 300

/** A sum that fades. */
class Fading {
  private sum = 0
  private at = 0

  add (value: number, now: number): void {
    this.sum = this.read(now) + value
    this.at = now
  }

  read (now: number): number {
    return this.sum * Math.exp((this.at - now) / MEMORY_MS)
  }
}

/** Work that arrived at an entry, and work that it could start while some waited; in milli-cores times ms. */
export class LoadRecord {
  private readonly arrived = new Map<number, Fading>()
  private startedWork = 0
  private busyMs = 0
  private readAt = 0
  private wasWaiting = false

  constructor (private readonly now: () => number) {}

  /** A job was taken on. */
  onArrived (priority: number, work: number): void {
    const fading = this.arrived.get(priority) ?? new Fading()
    this.arrived.set(priority, fading)
    fading.add(work, this.now())
  }

  /** Work was started, or came back unstarted if negative. */
  onStarted (work: number): void {
    if (this.wasWaiting) this.startedWork += work
  }

  /** Looks at the queue; to be called a few tens of times a second. */
  onLook (isWaiting: boolean): void {
    const now = this.now()
    const passedMs = now - this.readAt
    if (this.wasWaiting) {
      const kept = Math.exp(-passedMs / MEMORY_MS)
      this.startedWork *= kept
      this.busyMs = (this.busyMs + passedMs) * kept
    }
    this.wasWaiting = isWaiting
    this.readAt = now
  }

  /**
   * What can be started while work waits, in milli-cores.
   *
   * @param expectedMilli - before anything was seen; Infinity if nothing is known
   */
  servedMilli (expectedMilli: number): number {
    return Math.max(1, (this.startedWork + expectedMilli * PRIOR_MS) / (this.busyMs + PRIOR_MS))
  }

  /** What arrived lately with a higher priority than this one, in milli-cores. */
  moreUrgentMilli (priority: number): number {
    let work = 0
    for (const [other, fading] of this.arrived) if (other < priority) work += fading.read(this.now())
    return work / MEMORY_MS
  }
}
