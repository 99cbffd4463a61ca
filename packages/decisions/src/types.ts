/** What a task uses, or an endpoint offers. */
export interface Resources {
  /** Thousandths of a processor core. */
  cpuMilli: number
  memoryMb: number
}

/** True if `need` fits into `room`. */
export const fits = (need: Resources, free: Resources): boolean =>
  need.cpuMilli <= free.cpuMilli && need.memoryMb <= free.memoryMb

/** A job as the decisions see it. All times are on the entry's monotonic clock, in ms. */
export interface JobView {
  /** 0 goes first. */
  readonly priority: number
  /** What each of its tasks uses. */
  readonly need: Resources
  /** Run time to expect of one task, in ms. */
  readonly expectedMs: number
  readonly arrivedAt: number
  /** The answer is in time until then. */
  readonly dueAt: number
  /** From then on an answer is of no use. */
  readonly expiresAt: number
  /** A job of which nothing was started by then is refused. */
  readonly shedAt: number
  /** Tasks that wait to be sent. */
  readonly queue: readonly number[]
  /** Tasks that ran, run or may run. */
  readonly mayHaveRun: number
  /** Longest run of its tasks that ended, in ms; 0 while none has. */
  readonly longestRunMs: number
}
