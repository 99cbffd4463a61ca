import { seededRandom } from '@hazellift/common'
import type { Random } from '@hazellift/common'
import { POLICY, queuedWork } from '@hazellift/decisions'
import type { LoadView, ComputeShares } from '@hazellift/decisions'
import { createLeasedJob } from '../../src/index.js'
import type { LeasedJob } from '../../src/index.js'
import { findJobsToShed } from '../../src/leased/leasedAdmission.js'
import { LeasedQueue } from '../../src/leased/leasedQueue.js'
import { LoadRecord } from '../../src/leased/loadRecord.js'

/** The jobs of one queue. */
interface QueueWorkload {
  priority: number
  /** Tasks of a job; each occupies one slot for `runMs`. */
  tasks: number
  runMs: number
  /** Jobs that arrive per second without a burst. */
  perSecond: number
}

/** Short jobs have priority over long ones; without a burst all queues together need three quarters of the slots. */
const WORKLOADS: QueueWorkload[] = [
  { priority: 0, tasks: 8, runMs: 86, perSecond: 72 },
  { priority: 1, tasks: 2, runMs: 286, perSecond: 212 },
  { priority: 2, tasks: 4, runMs: 1286, perSecond: 13.2 }
]
/** During the burst the jobs of one queue arrive `rateFactor` times as often. */
const BURST = { startMs: 3000, endMs: 9000, rateFactor: 3.4, priority: 2 }
const DURATION_MS = 11_000
const SLOTS = 320
const STEP_MS = 2.5
const SWEEP_MS = 25
const SLOT = { cpuMilli: 1000, memoryMb: 1 }

/** The jobs of one queue that arrived during the burst. */
export interface QueueOutcome {
  arrived: number
  /** Those that completed before they were due. */
  inTime: number
}

/** Result of a simulation. */
export interface BurstResult {
  /** By priority. */
  queues: Map<number, QueueOutcome>
  /** Sweeps after which slots were free although a job waited. */
  idleSweeps: number
}

interface Entry {
  queue: LeasedQueue
  load: LoadRecord
  /** Number of the start that this entry got last; 0 before the first. */
  lastStart: number
}

/** Simulates entries that share slots and exchange no load reports, without agents and a network. */
class BurstSimulation {
  private now = 0
  private freeSlots = SLOTS
  private readonly random: Random
  private readonly entries: Entry[]
  private readonly runs: Array<{ endsAt: number, job: LeasedJob }> = []
  private readonly result: BurstResult = { queues: new Map(WORKLOADS.map(({ priority }) => [priority, { arrived: 0, inTime: 0 }])), idleSweeps: 0 }
  private jobCount = 0
  private startCount = 0

  constructor (entryCount: number, private readonly shares: ComputeShares, seed: number) {
    this.random = seededRandom(seed)
    this.entries = Array.from({ length: entryCount }, () => ({ queue: new LeasedQueue(POLICY.order), load: new LoadRecord(() => this.now), lastStart: 0 }))
  }

  simulate (): BurstResult {
    for (; this.now < DURATION_MS; this.now += STEP_MS) {
      this.endRuns()
      for (const workload of WORKLOADS) this.arrive(workload)
      this.startWaiting()
      if (this.now % SWEEP_MS === 0) this.sweep()
    }
    return this.result
  }

  private get isBurst (): boolean {
    return this.now >= BURST.startMs && this.now < BURST.endMs
  }

  private viewOf ({ load }: Entry): LoadView {
    const servedMilli = load.servedMilli(SLOTS * SLOT.cpuMilli / this.entries.length)
    return { servedMilli, queues: this.shares(servedMilli, load.queues) }
  }

  private arrive (workload: QueueWorkload): void {
    const rate = workload.perSecond * (this.isBurst && workload.priority === BURST.priority ? BURST.rateFactor : 1)
    if (this.random() < rate * STEP_MS / 1000) this.submit(workload, this.entries[Math.floor(this.random() * this.entries.length)]!)
  }

  private submit ({ priority, tasks, runMs }: QueueWorkload, entry: Entry): void {
    const job = createLeasedJob({
      workspace: 'w',
      id: `j${this.jobCount++}`,
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

  /** Gives the free slots one by one to the entry whose first job has the best priority, as agents offer free capacity. */
  private startWaiting (): void {
    while (this.freeSlots > 0) {
      const waiting = this.entries.filter(({ queue }) => queue.size > 0)
        .map((entry) => ({ entry, priority: entry.queue.demandPriority(this.now, this.viewOf(entry))! }))
        .sort((a, b) => a.priority - b.priority || a.entry.lastStart - b.entry.lastStart)
      if (waiting.length === 0) return
      this.start(waiting[0]!.entry)
    }
  }

  private start (entry: Entry): void {
    const job = entry.queue.inOrder(this.now, this.viewOf(entry))[0]!
    job.queue.pop()
    job.mayHaveRun++
    entry.lastStart = ++this.startCount
    this.freeSlots--
    entry.load.onStarted(job.priority, job.need.cpuMilli * job.expectedMs)
    this.runs.push({ endsAt: this.now + job.expectedMs, job })
    if (job.queue.length === 0) entry.queue.remove(job)
  }

  private endRuns (): void {
    for (let index = this.runs.length - 1; index >= 0; index--) {
      const { endsAt, job } = this.runs[index]!
      if (endsAt > this.now) continue
      this.runs.splice(index, 1)
      this.freeSlots++
      job.doneCount++
      const arrivedInBurst = job.arrivedAt >= BURST.startMs && job.arrivedAt < BURST.endMs
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
    if (this.freeSlots > 0 && this.entries.some(({ queue }) => queue.size > 0)) this.result.idleSweeps++
  }
}

/**
 * Simulates a burst of jobs in the queue of lowest priority.
 *
 * @param entryCount - number of entries that share the slots
 * @param shares - decides what share of the slots is reserved for each queue
 * @param seed - of the arrivals
 */
export const simulateQueueBurst = (entryCount: number, shares: ComputeShares, seed: number): BurstResult => new BurstSimulation(entryCount, shares, seed).simulate()
