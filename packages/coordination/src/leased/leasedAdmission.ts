import { assertNever } from '@hazellift/common'
import type { Policy } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { LeasedFleet } from './leasedFleet.js'
import type { LeasedJob, LeasedJobEnd } from './leasedJob.js'

/** The decisions that turn jobs away. */
export type AdmissionPolicy = Pick<Policy, 'admit' | 'retryAfter'>

type RefusalReason = typeof REASONS.overload | typeof REASONS.noEndpoint

const refuse = (reason: RefusalReason, message: string, { retryAfter }: Pick<Policy, 'retryAfter'>): LeasedJobEnd =>
  ({ type: 'refused', reason, message, retryAfterMs: retryAfter() })

/** The end of a job that no room came free for; nothing of it was started. */
export const overload = (message: string, policy: Pick<Policy, 'retryAfter'>): LeasedJobEnd => refuse(REASONS.overload, message, policy)

/**
 * Why a job cannot be taken on, if so.
 *
 * @param job - not queued yet
 * @param fleet - endpoints and queues
 * @param entryCount - entries that share the endpoints
 * @param policy - the decisions
 */
export const findRefusal = (job: LeasedJob, fleet: LeasedFleet, entryCount: number, policy: AdmissionPolicy): LeasedJobEnd | undefined => {
  const { queue } = fleet.serviceOf(job.service)
  const admission = policy.admit(job, {
    capacityMilli: fleet.capacityMilli(job.service),
    runningMilli: fleet.runningMilli(job.service),
    entryCount,
    waiting: queue,
    waitingCount: queue.size
  })
  switch (admission.type) {
    case 'taken': return undefined
    case 'no_capacity': return refuse(REASONS.noEndpoint, `no endpoint serves '${job.service}' now`, policy)
    case 'too_many': return overload('too many jobs wait', policy)
    case 'too_late': return overload(`the jobs ahead take about ${Math.round(admission.waitMs)} ms`, policy)
    default: return assertNever(admission)
  }
}
