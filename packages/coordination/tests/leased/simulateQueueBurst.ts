import { seededRandom } from '@hazellift/common'
import type { Random } from '@hazellift/common'
import { POLICY, queuedWork } from '@hazellift/decisions'
import type { LoadView, ComputeShares } from '@hazellift/decisions'
import { createLeasedJob } from '../../src/index.js'
import type { LeasedJob } from '../../src/index.js'
import { findJobsToShed } from '../../src/leased/leasedAdmission.js'
import { LeasedQueue } from '../../src/leased/leasedQueue.js'
import { LoadRecord } from '../../src/leased/loadRecord.js'

/** A queue of the replay; work in ms of one slot. */
interface QueueWorkload {
  priority: number
  tasks: number
  runMs: number
  perSecond: number
}

/** Short jobs go first, long ones last; without a burst they ask for three quarters of the slots. */
const KINDS: QueueWorkload[] = [
  { priority: 0, tasks: 8, runMs: 86, perSecond: 72 },
  { priority: 1, tasks: 2, runMs: 286, perSecond: 212 },
  { priority: 2, tasks: 4, runMs: 1286, perSecond: 13.2 }
]
const BURST = { from: 3000, to: 9000, x: 3.4, priority: 2 }
const LENGTH_MS = 11_000
const SLOTS = 320
const STEP_MS = 2.5
const SWEEP_MS = 25
const SLOT = { cpuMilli: 1000, memoryMb: 1 }

/** What came of one queue during the burst. */
export interface QueueOutcome {
  arrived: number
  inTime: number
}

/** What the replay shows. */
export interface BurstResult {
  queues: Map<number, QueueOutcome>
  /** Moments at which slots were free while a job waited after all had looked. */
  idleSweeps: number
}

interface Entry {
  queue: LeasedQueue
  load: LoadRecord
  servedAt: number
}

/** Entries that share slots and hear nothing of each other, without a network. */
class BurstSimulation {
  private now = 0
  private free = SLOTS
  private readonly random: Random
  private readonly entries: Entry[]
  private readonly ends: Array<{ at: number, job: LeasedJob }> = []
  private readonly result: BurstResult = { queues: new Map(KINDS.map(({ priority }) => [priority, { asked: 0, inTime: 0 }])), idleSweeps: 0 }
  private jobs = 0
  private serves = 0

  constructor (entries: number, private readonly shares: ComputeShares, seed: number) {
    this.random = seededRandom(seed)
    this.entries = Array.from({ length: entries }, () => ({ queue: new LeasedQueue(POLICY.order), load: new LoadRecord(() => this.now), servedAt: 0 }))
  }

  play (): BurstResult {
    for (; this.now < LENGTH_MS; this.now += STEP_MS) {
      this.endRuns()
      for (const kind of KINDS) this.arrive(kind)
      this.startAll()
      if (this.now % SWEEP_MS === 0) this.sweep()
    }
    return this.result
  }

  private get isBurst (): boolean {
    return this.now >= BURST.from && this.now < BURST.to
  }

  private viewOf ({ load }: Entry): LoadView {
    const servedMilli = load.servedMilli(SLOTS * SLOT.cpuMilli / this.entries.length)
    return { servedMilli, queues: this.shares(servedMilli, load.queues) }
  }

  private arrive (kind: QueueWorkload): void {
    const rate = kind.perSecond * (this.isBurst && kind.priority === BURST.priority ? BURST.x : 1)
    if (this.random() < rate * STEP_MS / 1000) this.submit(kind, this.entries[Math.floor(this.random() * this.entries.length)]!)
  }

  private submit ({ priority, tasks, runMs }: QueueWorkload, entry: Entry): void {
    const job = createLeasedJob({
      workspace: 'w',
      id: `j${this.jobs++}`,
      requestId: '',
      service: 's',
      payload: '',
      count: tasks,
      need: SLOT,
      estimateMs: runMs,
      kind: `k${priority}`,
      priority,
      attempts: 1,
      objective: { stretch: 1.6, slackMs: 60, lateFactor: 3 },
      deadlineMs: 4 * (1.6 * runMs + 60)
    }, this.now, runMs, () => {})
    if (this.isBurst) this.result.queues.get(priority)!.arrived++
    entry.load.onArrived(priority, queuedWork(job))
    const view = { capacityMilli: SLOTS * SLOT.cpuMilli, load: this.viewOf(entry), waiting: entry.queue, waitingCount: entry.queue.size }
    if (POLICY.admit(job, view).type !== 'taken') return entry.load.onRefused(priority, queuedWork(job))
    entry.load.onAdmitted(priority, queuedWork(job))
    entry.queue.add(job)
  }

  /** The free slots go one by one to the entry whose first job competes best, as an agent offers them. */
  private startAll (): void {
    while (this.free > 0) {
      const wanting = this.entries.filter(({ queue }) => queue.size > 0)
        .map((entry) => ({ entry, priority: entry.queue.demandPriority(this.now, this.viewOf(entry))! }))
        .sort((a, b) => a.priority - b.priority || a.entry.servedAt - b.entry.servedAt)
      if (wanting.length === 0) return
      this.start(wanting[0]!.entry)
    }
  }

  private start (entry: Entry): void {
    const job = entry.queue.inOrder(this.now, this.viewOf(entry))[0]!
    job.queue.pop()
    job.mayHaveRun++
    entry.servedAt = ++this.serves
    this.free--
    entry.load.onStarted(job.priority, job.need.cpuMilli * job.expectedMs)
    this.ends.push({ at: this.now + job.expectedMs, job })
    if (job.queue.length === 0) entry.queue.remove(job)
  }

  private endRuns (): void {
    for (let index = this.ends.length - 1; index >= 0; index--) {
      const { at, job } = this.ends[index]!
      if (at > this.now) continue
      this.ends.splice(index, 1)
      this.free++
      job.doneCount++
      const arrivedInBurst = job.arrivedAt >= BURST.from && job.arrivedAt < BURST.to
      if (arrivedInBurst && job.doneCount === job.count && this.now <= job.dueAt) this.result.queues.get(job.priority)!.inTime++
    }
  }

  private sweep (): void {
    for (const entry of this.entries) {
      const { queue, load } = entry
      load.recordWaiting(queue.size > 0)
      const view = this.viewOf(entry)
      for (const { job } of findJobsToShed(queue.inOrder(this.now, view), this.now, view, POLICY)) {
        load.onRefused(job.priority, queuedWork(job))
        queue.remove(job)
      }
    }
    if (this.free > 0 && this.entries.some(({ queue }) => queue.size > 0)) this.result.idleSweeps++
  }
}

/**
 * Plays a burst of the last queue.
 *
 * @param entries - how many share the slots
 * @param shares - decides what is kept for each queue
 * @param seed - of arrivals
 */
export const simulateQueueBurst = (entries: number, shares: ComputeShares, seed: number): BurstResult => new BurstSimulation(entries, shares, seed).play()
