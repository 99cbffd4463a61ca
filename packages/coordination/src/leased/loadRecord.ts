import type { QueueLoad } from '@hazellift/decisions'

/**
 * Time constant of the decay of past load, whose half-life is 0.7 of it: bursts last for
 * seconds, and a backlog for less.
 */
const DECAY_MS = 1000
/**
 * The expected rate weighs as much as this time of observation while jobs wait. Without
 * it, an entry that got no capacity for a moment would never get any again, because it
 * would forecast endless waits.
 */
const PRIOR_MS = 300

/** A sum whose terms decay exponentially with their age. */
class DecayingSum {
  private sum = 0
  private at = 0

  add (value: number, now: number): void {
    this.sum = this.read(now) + value
    this.at = now
  }

  read (now: number): number {
    return this.sum * Math.exp((this.at - now) / DECAY_MS)
  }
}

/** Recent work of one queue, in milli-cores times ms. */
class QueueRecord {
  readonly arrived = new DecayingSum()
  readonly admitted = new DecayingSum()
  readonly started = new DecayingSum()
  readonly refused = new DecayingSum()
}

/**
 * Recent load of one service at an entry: how much work arrived, was admitted, started
 * and refused in each queue, and how much the entry could start while jobs waited.
 * A queue is the jobs of one priority. Work is in milli-cores times ms.
 */
export class LoadRecord {
  private readonly records = new Map<number, QueueRecord>()
  private startedWhileWaiting = 0
  private waitingMs = 0
  private recordedAt = 0
  private wasWaiting = false

  constructor (private readonly now: () => number) {}

  /** Records a job that arrived. */
  onArrived (priority: number, work: number): void {
    this.recordOf(priority).arrived.add(work, this.now())
  }

  /** Records a job that was admitted. */
  onAdmitted (priority: number, work: number): void {
    this.recordOf(priority).admitted.add(work, this.now())
  }

  /** Records a job that was refused, on arrival or after a wait. */
  onRefused (priority: number, work: number): void {
    this.recordOf(priority).refused.add(work, this.now())
  }

  /** Records work that was sent to agents; negative for work that was returned without having been started. */
  onStarted (priority: number, work: number): void {
    this.recordOf(priority).started.add(work, this.now())
    if (this.wasWaiting) this.startedWhileWaiting += work
  }

  /**
   * Records whether jobs wait; if so, the time until the next call counts as time under
   * load. To be called a few tens of times a second.
   */
  recordWaiting (isWaiting: boolean): void {
    const now = this.now()
    const passedMs = now - this.recordedAt
    if (this.wasWaiting) {
      const decay = Math.exp(-passedMs / DECAY_MS)
      this.startedWhileWaiting *= decay
      this.waitingMs = (this.waitingMs + passedMs) * decay
    }
    this.wasWaiting = isWaiting
    this.recordedAt = now
  }

  /**
   * Returns the rate at which work is started while jobs wait, in milli-cores; at least 1.
   *
   * @param expectedMilli - rate to expect without observations; Infinity if unknown
   */
  servedMilli (expectedMilli: number): number {
    return Math.max(1, (this.startedWhileWaiting + expectedMilli * PRIOR_MS) / (this.waitingMs + PRIOR_MS))
  }

  /** Recent load of each queue at which work has arrived. */
  get queues (): QueueLoad[] {
    const now = this.now()
    return [...this.records].map(([priority, { arrived, admitted, started, refused }]) => ({
      priority,
      arrivedMilli: arrived.read(now) / DECAY_MS,
      admittedMilli: admitted.read(now) / DECAY_MS,
      startedMilli: started.read(now) / DECAY_MS,
      refusedMilli: refused.read(now) / DECAY_MS
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
