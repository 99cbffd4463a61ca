import type { Job } from '../jobs/job.js'

/** Compares two jobs of equal priority in a workspace; negative if the first one goes first. */
export type JobOrder = (a: Job, b: Job) => number

/** For each task that a job is smaller than another, it may arrive this much later and still go first, in ms. */
const HEAD_START_MS_PER_TASK = 100

const agedSize = ({ arrivedAt, queue }: Job): number => arrivedAt + queue.length * HEAD_START_MS_PER_TASK

/** Available orders of jobs with equal priority. */
export const JOB_ORDERS = {
  /** First come, first served. */
  arrival: (a: Job, b: Job) => a.arrivedAt - b.arrivedAt,
  /** Jobs with few queued tasks go first; the arrival time counts too, so that large jobs do not starve. */
  least_remaining: (a: Job, b: Job) => agedSize(a) - agedSize(b)
} as const satisfies Record<string, JobOrder>

interface WorkspaceQueue {
  /** Slot time that the workspace has used, divided by its weight, in ms. */
  virtualTime: number
  jobs: Job[]
}

/** Options of a `FairQueue`. */
export interface FairQueueOptions {
  order: JobOrder
  /** Weight of a workspace: its share of the slots relative to the other workspaces. */
  weightOf: (workspace: string) => number
  /** False while the workspace has reached its limit of running tasks. */
  mayRun: (workspace: string) => boolean
}

/**
 * Queue of one service's tasks at an entry, with weighted fair sharing between
 * workspaces: the next task is taken from the workspace that has used the least
 * slot time relative to its weight, and there from the job with the highest
 * priority.
 */
export class FairQueue {
  private readonly workspaces = new Map<string, WorkspaceQueue>()
  /** Virtual time of the latest start. A workspace that was idle continues from here, so that idle time earns no lead. */
  private virtualTime = 0
  private queued = 0

  constructor (private readonly options: FairQueueOptions) {}

  /** Number of queued tasks. */
  get size (): number {
    return this.queued
  }

  /** Adds a job with all tasks in its `queue`. */
  add (job: Job): void {
    const workspace = this.workspaceOf(job.workspace)
    if (workspace.jobs.length === 0) workspace.virtualTime = Math.max(workspace.virtualTime, this.virtualTime)
    workspace.jobs.push(job)
    this.queued += job.queue.length
  }

  /** Queues a task again whose start did not happen or whose attempt failed; it becomes the job's next task. */
  requeue (job: Job, task: number): void {
    this.remove(job)
    job.queue.push(task)
    this.add(job)
  }

  /** Removes the queued tasks of the job. */
  remove (job: Job): void {
    const workspace = this.workspaces.get(job.workspace)
    const index = workspace?.jobs.indexOf(job) ?? -1
    if (workspace === undefined || index < 0) return
    workspace.jobs.splice(index, 1)
    this.queued -= job.queue.length
  }

  /** Removes and returns the next task; undefined if none may run. */
  take (): { job: Job, task: number } | undefined {
    const workspace = this.nextWorkspace()
    if (workspace === undefined) return undefined
    const job = this.firstJob(workspace.jobs)
    const task = job.queue.pop()!
    this.queued--
    if (job.queue.length === 0) workspace.jobs.splice(workspace.jobs.indexOf(job), 1)
    this.virtualTime = Math.max(this.virtualTime, workspace.virtualTime)
    return { job, task }
  }

  /**
   * Charges slot time to a workspace.
   *
   * @param ms - slot time in ms; negative if an earlier estimate was too high
   */
  charge (workspace: string, ms: number): void {
    this.workspaceOf(workspace).virtualTime += ms / Math.max(this.options.weightOf(workspace), Number.MIN_VALUE)
  }

  /** Number of queued tasks of a workspace. */
  queuedTasks (workspace: string): number {
    const jobs = this.workspaces.get(workspace)?.jobs ?? []
    return jobs.reduce((sum, { queue }) => sum + queue.length, 0)
  }

  /** Number of queued tasks whose workspace has not reached its limit of running tasks. */
  get runnable (): number {
    let count = 0
    for (const [name, { jobs }] of this.workspaces) {
      if (jobs.length > 0 && this.options.mayRun(name)) count += this.queuedTasks(name)
    }
    return count
  }

  private workspaceOf (name: string): WorkspaceQueue {
    const workspace = this.workspaces.get(name) ?? { virtualTime: this.virtualTime, jobs: [] }
    this.workspaces.set(name, workspace)
    return workspace
  }

  private nextWorkspace (): WorkspaceQueue | undefined {
    let best: WorkspaceQueue | undefined
    for (const [name, workspace] of this.workspaces) {
      if (workspace.jobs.length === 0 || !this.options.mayRun(name)) continue
      if (best === undefined || workspace.virtualTime < best.virtualTime) best = workspace
    }
    return best
  }

  private firstJob (jobs: Job[]): Job {
    return jobs.reduce((best, job) => {
      const order = best.priority - job.priority || this.options.order(job, best)
      return order < 0 ? job : best
    })
  }
}
