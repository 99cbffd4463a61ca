import type { Neighbour } from './neighbours.js'

/** Faults that a trial can inject while its load runs. */
export const TRIAL_FAULTS = {
  none: 'none',
  /** One endpoint fails every task immediately. */
  failingEndpoint: 'failing-endpoint',
  /** One endpoint takes five times as long for every task. */
  straggler: 'straggler',
  /** One agent and its endpoint are killed. */
  deadWorker: 'dead-worker',
  /** The platform refuses all calls for three seconds. */
  tableDown: 'table-down',
  /** One entry is killed. */
  deadEntry: 'dead-entry'
} as const
export type TrialFault = typeof TRIAL_FAULTS[keyof typeof TRIAL_FAULTS]

/** One job of a load. */
export interface LoadJob {
  id: string
  workspace: string
  /** Unset for the service that the endpoints offer. */
  service?: string | undefined
  /** True if all its tasks fail. */
  fails?: boolean
  /** Time of arrival, in ms from the start of the load. */
  atMs: number
  /** True run time of each task, in ms. */
  taskMs: number[]
  /** Run time that the caller declares for each task, in ms; may be far from the true one. */
  declaredMs: number[]
  unrepeatable: boolean
  /** Index of the entry to which it is submitted. */
  entry: number
}

/** Options from which a load is drawn. */
export interface LoadOptions {
  seed: number
  /** Share of all slots that the load keeps busy on average. */
  share: number
  seconds: number
  /** Of all endpoints together. */
  slots: number
  entries: number
  workspaces: number
  /** Number of jobs of 100 tasks that one more workspace submits at the same time, every three seconds; 0 for none. */
  burst: number
  /** Largest job, in tasks. */
  maxTasks: number
  /** How one more workspace tries to degrade service for the others. */
  neighbour: Neighbour
}

/** How a job ended. */
export interface JobOutcome {
  job: LoadJob
  /** complete, partial, failed:reason, refused:reason, running (no answer in time) or broken (no response). */
  outcome: string
  responseMs: number
}

/** Quantiles of a ratio or time. */
export interface Quantiles {
  p50: number
  p95: number
  p99: number
}

/** Results of one trial; the keys are those of the JSON report. */
export interface TrialReport {
  rule: string
  share: number
  fault: TrialFault
  seconds: number
  jobs: number
  tasks: number
  outcomes: Record<string, number>
  /** Response time divided by the run time of the job's longest task. */
  overIdeal: Quantiles
  /** Response time divided by that of one central queue without overhead. */
  overQueue: Quantiles
  responseMs: Quantiles
  /** Response time of jobs of all workspaces but those that send bursts or try to degrade service for the others. */
  quietResponseMs: Quantiles
  /** Response time that one central queue without overhead would give for the same load. */
  queueMs: Quantiles
  messagesPerTask: number
  messagesByKind: Record<string, number>
  wastedShare: number
  wastedByReason: Record<string, number>
  /** CPU time in ms for each thousand tasks, by kind of program. */
  cpuMsPerThousand: Record<string, number>
  /** Resident memory at the end, in MB: the largest among the programs of each kind. */
  memoryMb: Record<string, number>
  storeReadsPerSecond: number
  storeWritesPerSecond: number
  rowsPerSecond: number
}
