import { assertNever } from '@hazellift/common'
import { forecastWait, queuedWork } from '@hazellift/decisions'
import type { LoadView, Policy } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { LeasedFleet } from './leasedFleet.js'
import type { LeasedJob, LeasedJobEnd, LeasedRefusal } from './leasedJob.js'

/** The decisions that turn jobs away. */
export type AdmissionPolicy = Pick<Policy, 'admit' | 'retryAfter'>

type RefusalReason = typeof REASONS.overload | typeof REASONS.noEndpoint

const refuse = (reason: RefusalReason, message: string, { retryAfter }: Pick<Policy, 'retryAfter'>): LeasedRefusal =>
  ({ type: 'refused', reason, message, retryAfterMs: retryAfter() })

/** Names what the job's queue got, and what was kept for it. */
const overload = (message: string, { priority }: LeasedJob, { queues }: LoadView, policy: Pick<Policy, 'retryAfter'>): LeasedJobEnd =>
  ({ ...refuse(REASONS.overload, message, policy), share: queues.find((queue) => queue.priority === priority) })

/**
 * Why a job cannot be taken on, if so.
 *
 * @param job - not queued yet
 * @param fleet - endpoints and queues
 * @param load - what this entry serves
 * @param policy - the decisions
 */
export const findRefusal = (job: LeasedJob, fleet: LeasedFleet, load: LoadView, policy: AdmissionPolicy): LeasedJobEnd | undefined => {
  const { queue } = fleet.serviceOf(job.service)
  const admission = policy.admit(job, {
    capacityMilli: fleet.capacityMilli(job.service),
    load,
    waiting: queue,
    waitingCount: queue.size
  })
  switch (admission.type) {
    case 'taken': return undefined
    case 'no_capacity': return refuse(REASONS.noEndpoint, `no endpoint serves '${job.service}' now`, policy)
    case 'too_many': return overload('too many jobs wait', job, load, policy)
    case 'too_late': return overload(`the jobs ahead take about ${Math.round(admission.waitMs)} ms`, job, load, policy)
    default: return assertNever(admission)
  }
}

/**
 * Jobs that wait and will not begin in time, with what their callers are told.
 *
 * @param jobs - all that wait, in the order in which they go
 * @param now - in ms, on the clock of the jobs' times
 * @param load - what this entry serves
 * @param policy - the decisions
 */
export const findJobsToShed = (jobs: LeasedJob[], now: number, load: LoadView, policy: Pick<Policy, 'giveUp' | 'retryAfter'>): Array<{ job: LeasedJob, end: LeasedJobEnd }> => {
  let all = 0
  const ownWork = new Map<number, number>()
  return jobs.flatMap((job) => {
    const own = ownWork.get(job.priority) ?? 0
    const waitMs = forecastWait({ all, own }, job.priority, load)
    if (policy.giveUp(job, now, waitMs)) return [{ job, end: overload(`no room in time: about ${Math.round(waitMs)} ms more`, job, load, policy) }]
    const work = queuedWork(job)
    all += work
    ownWork.set(job.priority, own + work)
    return []
  })
}
