/** Types that several decisions share. */

/** Processor and memory: what a task needs, or what an endpoint has. */
export interface Resources {
  /** Thousandths of a processor core. */
  cpuMilli: number
  memoryMb: number
}

/** True if `need` fits into `free`. */
export const fits = (need: Resources, free: Resources): boolean =>
  need.cpuMilli <= free.cpuMilli && need.memoryMb <= free.memoryMb

/** A job as the decisions see it. All times are in ms on the entry's monotonic clock. */
export interface JobView {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Resources that each task needs. */
  readonly need: Resources
  /** Expected run time of one task, in ms. */
  readonly expectedMs: number
  readonly arrivedAt: number
  /** An answer after this time misses the objective. */
  readonly dueAt: number
  /** An answer after this time is of no use. */
  readonly expiresAt: number
  /** The job is refused if none of its tasks has been started by this time. */
  readonly shedAt: number
  /** Indexes of the tasks that wait to be sent. */
  readonly queue: readonly number[]
  /** Number of tasks that ran, are running or may be running. */
  readonly mayHaveRun: number
  /** Longest run among its tasks that ended, in ms; 0 if none has ended. */
  readonly longestRunMs: number
}
