import type { Clock } from '@hazellift/common'
import { REASONS, RUN_STATES } from '@hazellift/protocol'
import type { JobSpec } from '@hazellift/protocol'
import type { Claim } from '../claims/claimRows.js'
import type { ClaimOutcome, ClaimStore } from '../claims/claimStore.js'
import type { PolicyDecision } from '../policy/types.js'
import { createCollectedJob, createJob } from './job.js'
import type { Job } from './job.js'
import type { OwnedJobs } from './ownedJobs.js'
import { refuse } from './replies.js'
import type { Refusal } from './replies.js'

/** A submission that was admitted, with the decision of its policy. */
export interface AdmittedJob {
  workspace: string
  spec: JobSpec
  /** Hash of the body submitted. */
  hash: Uint8Array
  decision: PolicyDecision
  deadlineMs: number
}

/** Outcome of an attempt to own a submission and to open its job. */
export type BeginOutcome =
  /** The job is open at this entry. */
  | { type: 'local' }
  /** The submission has another claim. */
  | { type: 'existing', claim: Claim }
  | Refusal

/** Dependencies and settings of a job starter. */
export interface JobStarterOptions {
  clock: Clock
  claims: Pick<ClaimStore, 'claim' | 'takeOver'>
  owned: Pick<OwnedJobs, 'start' | 'collect'>
  /** Longest wait for the table to write a claim. */
  claimTimeoutMs: number
  /** Longest run of a task at an agent. */
  leaseMs: number
  /** Called with the outcome of each claim: owned, existing, unavailable or taken_over. */
  observeClaim: (outcome: string) => void
}

/** When callers should retry a request that this entry or the table service cannot serve now. */
export const STORE_RETRY_MS = 1000
/** Time for collecting the results of a job that was taken over. */
const TAKEOVER_DEADLINE_MS = 60_000

/**
 * Claims submissions and opens their jobs. The tasks of a submission that
 * nobody has started are sent to agents; of a claim taken over from a lost
 * owner, only the results are collected, as its tasks may have run.
 */
export class JobStarter {
  /** Nonces of claims that this entry released before it started anything; it never starts anything under them. */
  private readonly released = new Set<string>()

  constructor (private readonly options: JobStarterOptions) {}

  /** True if this entry released the claim with this nonce, so that nothing was or will be started under it. */
  isReleased (nonce: string): boolean {
    return this.released.has(nonce)
  }

  /** Claims a submission and starts its job. */
  async claim (job: AdmittedJob): Promise<BeginOutcome> {
    const { clock, claims, claimTimeoutMs, observeClaim } = this.options
    const { workspace, spec, hash, deadlineMs } = job
    const arrivedAt = clock.now()
    const outcome = await claims.claim({
      workspace,
      submission: spec.id,
      bodyHash: hash,
      service: spec.service,
      taskCount: spec.tasks.length,
      unrepeatable: spec.unrepeatable,
      deadlineMs
    }, arrivedAt + Math.min(claimTimeoutMs, deadlineMs))
    observeClaim(outcome.type)
    return this.startAdmitted(outcome, job, arrivedAt)
  }

  /** Takes over a claim that its owner has released, and starts the job. */
  async runReleased (claim: Claim, job: AdmittedJob): Promise<BeginOutcome> {
    const { clock, claims, claimTimeoutMs, observeClaim } = this.options
    const outcome = await claims.takeOver(claim, clock.now() + claimTimeoutMs)
    if (outcome.type === 'owned') observeClaim('taken_over')
    return this.startAdmitted(outcome, job, clock.now())
  }

  /** Takes over a claim whose owner is lost, and collects from agents the results that they remember. */
  async collect (claim: Claim): Promise<BeginOutcome> {
    const { clock, claims, owned, claimTimeoutMs, observeClaim } = this.options
    const outcome = await claims.takeOver(claim, clock.now() + claimTimeoutMs)
    if (outcome.type === 'existing') return outcome
    if (outcome.type === 'unavailable') return refuse(REASONS.storeDown, outcome.message, RUN_STATES.mayHaveRun, STORE_RETRY_MS)
    observeClaim('taken_over')
    owned.collect(this.createJobToCollect(outcome.claim), outcome.claim)
    return { type: 'local' }
  }

  private startAdmitted (outcome: ClaimOutcome, job: AdmittedJob, arrivedAt: number): BeginOutcome {
    if (outcome.type === 'existing') return outcome
    if (outcome.type === 'unavailable') {
      if (!outcome.certain) this.released.add(outcome.nonce)
      return refuse(REASONS.storeDown, outcome.message, RUN_STATES.notRun, STORE_RETRY_MS)
    }
    this.options.owned.start(this.createAdmittedJob(job, arrivedAt), outcome.claim)
    return { type: 'local' }
  }

  private createAdmittedJob ({ workspace, spec, decision, deadlineMs }: AdmittedJob, arrivedAt: number): Job {
    const { id, service, unrepeatable } = spec
    return createJob({
      workspace,
      id,
      service,
      payloads: spec.tasks.map(({ payload }) => payload),
      unrepeatable,
      priority: decision.priority,
      retries: decision.retries,
      leaseMs: this.options.leaseMs,
      arrivedAt,
      deadlineAt: arrivedAt + deadlineMs
    })
  }

  private createJobToCollect ({ record }: Claim): Job {
    const { clock, leaseMs } = this.options
    return createCollectedJob({
      workspace: record.workspace,
      id: record.submission,
      service: record.service,
      unrepeatable: record.unrepeatable,
      priority: 0,
      retries: 0,
      leaseMs,
      arrivedAt: clock.now(),
      deadlineAt: clock.now() + TAKEOVER_DEADLINE_MS
    }, record.taskCount)
  }
}
