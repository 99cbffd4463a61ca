import type { QueueLoad } from '@hazellift/decisions'

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

/** Work of one queue. */
class QueueRecord {
  readonly asked = new Fading()
  readonly taken = new Fading()
  readonly started = new Fading()
  readonly lost = new Fading()
}

/** Work that arrived at an entry, and work that it could start while some waited; in milli-cores times ms. */
export class LoadRecord {
  private readonly records = new Map<number, QueueRecord>()
  private startedWork = 0
  private busyMs = 0
  private readAt = 0
  private wasWaiting = false

  constructor (private readonly now: () => number) {}

  /** A job has come. */
  onArrived (priority: number, work: number): void {
    this.recordOf(priority).asked.add(work, this.now())
  }

  /** It was taken on. */
  onAdmitted (priority: number, work: number): void {
    this.recordOf(priority).taken.add(work, this.now())
  }

  /** It was refused, on arrival or after a wait. */
  onRefused (priority: number, work: number): void {
    this.recordOf(priority).lost.add(work, this.now())
  }

  /** Work was started, or came back unstarted if negative. */
  onStarted (priority: number, work: number): void {
    this.recordOf(priority).started.add(work, this.now())
    if (this.wasWaiting) this.startedWork += work
  }

  /** Looks at the queue; to be called a few tens of times a second. */
  recordWaiting (isWaiting: boolean): void {
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

  /** The queues that asked lately. */
  get queues (): QueueLoad[] {
    const now = this.now()
    return [...this.records].map(([priority, { asked, taken, started, lost }]) => ({
      priority,
      arrivedMilli: asked.read(now) / MEMORY_MS,
      admittedMilli: taken.read(now) / MEMORY_MS,
      startedMilli: started.read(now) / MEMORY_MS,
      refusedMilli: lost.read(now) / MEMORY_MS
    }))
  }

  private recordOf (priority: number): QueueRecord {
    const known = this.records.get(priority)
    if (known !== undefined) return known
    const record = new QueueRecord()
    this.records.set(priority, record)
    return record
  }
}
