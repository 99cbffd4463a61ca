import type { Job } from '../jobs/job.js'

/** Compares two jobs of a workspace; negative if the first goes first. */
export type JobOrder = (a: Job, b: Job) => number

/** How much later a job may come, for each task that it is smaller, and still go first, in ms. */
const HEAD_START_MS_PER_TASK = 100

const agedSize = ({ arrivedAt, queue }: Job): number => arrivedAt + queue.length * HEAD_START_MS_PER_TASK

/** Orders of jobs with equal priority. */
export const JOB_ORDERS = {
  arrival: (a: Job, b: Job) => a.arrivedAt - b.arrivedAt,
  /** Few waiting tasks first, but no job is passed over for ever. */
  least_remaining: (a: Job, b: Job) => agedSize(a) - agedSize(b)
} as const satisfies Record<string, JobOrder>

interface WorkspaceQueue {
  /** Slot time used, divided by weight. */
  virtualTime: number
  jobs: Job[]
}

/** What the queue asks of its surroundings. */
export interface FairQueueOptions {
  order: JobOrder
  weightOf: (workspace: string) => number
  /** False while the workspace is at its limit of running tasks. */
  mayRun: (workspace: string) => boolean
}

/**
 * Tasks of one service that wait at an entry. Between workspaces the one with
 * the least slot time used for its weight goes first; within a workspace the
 * job of the highest priority does.
 */
export class FairQueue {
  private readonly workspaces = new Map<string, WorkspaceQueue>()
  /** Virtual time of the last start; a workspace that was idle starts from here. */
  private virtualTime = 0
  private queued = 0

  constructor (private readonly options: FairQueueOptions) {}

  /** Tasks that wait. */
  get size (): number {
    return this.queued
  }

  /** Adds a job with everything in its queue. */
  add (job: Job): void {
    const workspace = this.workspaceOf(job.workspace)
    if (workspace.jobs.length === 0) workspace.virtualTime = Math.max(workspace.virtualTime, this.virtualTime)
    workspace.jobs.push(job)
    this.queued += job.queue.length
  }

  /** Puts a task of the job back, as its start is proved not to have happened. */
  requeue (job: Job, task: number): void {
    this.remove(job)
    job.queue.push(task)
    this.add(job)
  }

  /** Drops what the job has queued here. */
  remove (job: Job): void {
    const workspace = this.workspaces.get(job.workspace)
    const index = workspace?.jobs.indexOf(job) ?? -1
    if (workspace === undefined || index < 0) return
    workspace.jobs.splice(index, 1)
    this.queued -= job.queue.length
  }

  /** Takes the task that goes next, if any may run. */
  take (): { job: Job, task: number } | undefined {
    const found = this.nextWorkspace()
    if (found === undefined) return undefined
    const job = this.firstJob(found.jobs)
    const task = job.queue.pop()!
    this.queued--
    if (job.queue.length === 0) found.jobs.splice(found.jobs.indexOf(job), 1)
    this.virtualTime = Math.max(this.virtualTime, found.virtualTime)
    return { job, task }
  }

  /** Slot time used, in ms; negative to correct an estimate charged before. */
  charge (workspace: string, ms: number): void {
    this.workspaceOf(workspace).virtualTime += ms / Math.max(this.options.weightOf(workspace), Number.MIN_VALUE)
  }

  /** Tasks of one workspace that wait here. */
  queuedTasks (workspace: string): number {
    const jobs = this.workspaces.get(workspace)?.jobs ?? []
    return jobs.reduce((sum, { queue }) => sum + queue.length, 0)
  }

  /** Tasks that wait and that no limit of their workspace holds back. */
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
