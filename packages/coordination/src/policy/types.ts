/** What a policy sees of the job. */
export interface PolicyJob {
  id: string
  service: string
  tasks: number
  payloadBytes: number
  unrepeatable: boolean
  deadlineMs: number
  labels: Record<string, string>
}

/** What a policy sees of its own workspace at this entry. */
export interface PolicyUsage {
  running: number
  queued: number
}

/** What a policy decided; limits of 0 are none. */
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

/** The expressions of a policy; empty ones take their default. */
export type PolicySource = Record<keyof PolicyDecision, string>

/** A place in a policy that does not compile. */
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
  /** @throws PolicyEvaluationError if an expression fails on these facts */
  evaluate: (job: PolicyJob, usage: PolicyUsage) => PolicyDecision
}
