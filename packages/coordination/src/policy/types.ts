/** The facts about a job that a policy can use. */
export interface PolicyJob {
  id: string
  service: string
  tasks: number
  payloadBytes: number
  unrepeatable: boolean
  deadlineMs: number
  labels: Record<string, string>
}

/** The facts about its own workspace at this entry that a policy can use, in tasks. */
export interface PolicyUsage {
  running: number
  queued: number
}

/** The decision of a policy about a job; a limit of 0 means that there is none. */
export interface PolicyDecision {
  admit: boolean
  reason: string
  priority: number
  running: number
  queued: number
  /** Tasks a second. */
  rate: number
  retries: number
}

/** The expressions of a policy by field; an empty expression means the default of its field. */
export type PolicySource = Record<keyof PolicyDecision, string>

/** A fault in a policy that does not compile, and its position. */
export interface CompileFault {
  field: string
  /** From 1. */
  line: number
  /** From 1. */
  column: number
  message: string
}

/** A policy that is ready to be evaluated. */
export interface CompiledPolicy {
  /**
   * Decides about a job.
   *
   * @throws PolicyEvaluationError if an expression fails with these facts
   */
  evaluate: (job: PolicyJob, usage: PolicyUsage) => PolicyDecision
}
