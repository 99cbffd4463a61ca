import type { Neighbour } from './neighbours.js'

/** Faults that a trial may cause while its load runs. */
export const TRIAL_FAULTS = {
  none: 'none',
  /** One endpoint fails every task at once. */
  failingEndpoint: 'failing-endpoint',
  /** One endpoint takes five times as long. */
  straggler: 'straggler',
  /** One agent and its endpoint are killed. */
  deadWorker: 'dead-worker',
  /** The table refuses for three seconds. */
  tableDown: 'table-down',
  /** One entry is killed. */
  deadEntry: 'dead-entry'
} as const
export type TrialFault = typeof TRIAL_FAULTS[keyof typeof TRIAL_FAULTS]

/** One job of a load. */
export interface LoadJob {
  id: string
  workspace: string
  /** Unset for the one that the endpoints offer. */
  service?: string | undefined
  /** True if its tasks fail. */
  fails?: boolean
  /** From the start of the load, in ms. */
  atMs: number
  /** True run time of each task, in ms. */
  taskMs: number[]
  /** Declared run time of each task: far from true. */
  declaredMs: number[]
  unrepeatable: boolean
  entry: number
}

/** What a load is made of. */
export interface LoadOptions {
  seed: number
  /** Share of all slots that the load keeps busy on average. */
  share: number
  seconds: number
  slots: number
  entries: number
  workspaces: number
  /** Jobs of 100 tasks that one workspace sends together, every three seconds; 0 for none. */
  burst: number
  /** Largest job, in tasks. */
  maxTasks: number
  /** What one more workspace does to the others. */
  neighbour: Neighbour
}

/** How a job ended. */
export interface JobOutcome {
  job: LoadJob
  /** complete, failed:reason, refused:reason, running or broken. */
  outcome: string
  responseMs: number
}

/** Quantiles of a ratio or time. */
export interface Quantiles {
  p50: number
  p95: number
  p99: number
}

/** Everything that one trial measured. */
export interface TrialReport {
  rule: string
  share: number
  fault: TrialFault
  seconds: number
  jobs: number
  tasks: number
  outcomes: Record<string, number>
  /** Response time over the longest task alone. */
  overIdeal: Quantiles
  /** Response time over that of one central queue without any cost. */
  overQueue: Quantiles
  responseMs: Quantiles
  /** Of jobs of all workspaces but those that burst or are set against the others. */
  quietResponseMs: Quantiles
  /** Of one central queue, for the same load. */
  queueMs: Quantiles
  messagesPerTask: number
  messagesByKind: Record<string, number>
  wastedShare: number
  wastedByReason: Record<string, number>
  /** Processor time for each thousand tasks, in ms, by kind of program. */
  cpuMsPerThousand: Record<string, number>
  /** Resident memory at the end, in MB, the largest of each kind. */
  memoryMb: Record<string, number>
  storeReadsPerSecond: number
  storeWritesPerSecond: number
  rowsPerSecond: number
}
