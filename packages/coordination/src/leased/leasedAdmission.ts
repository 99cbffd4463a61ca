import { assertNever } from '@hazellift/common'
import { forecastWait, queuedWork } from '@hazellift/decisions'
import type { LoadView, Policy } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { LeasedFleet } from './leasedFleet.js'
import type { LeasedJob, LeasedJobEnd, LeasedRefusal } from './leasedJob.js'

/** The decisions about refusing jobs on arrival. */
export type AdmissionPolicy = Pick<Policy, 'admit' | 'retryAfter'>

type RefusalReason = typeof REASONS.overload | typeof REASONS.noEndpoint

const refuse = (reason: RefusalReason, message: string, { retryAfter }: Pick<Policy, 'retryAfter'>): LeasedRefusal =>
  ({ type: 'refused', reason, message, retryAfterMs: retryAfter() })

/** A refusal with the recent load and the floor of the job's queue. */
const refuseOverloaded = (message: string, { priority }: LeasedJob, { queues }: LoadView, policy: Pick<Policy, 'retryAfter'>): LeasedJobEnd =>
  ({ ...refuse(REASONS.overload, message, policy), share: queues.find((queue) => queue.priority === priority) })

/**
 * Decides whether a job that has arrived is admitted.
 *
 * @param job - not queued yet
 * @param fleet - endpoints and queues
 * @param load - load of the job's service at this entry
 * @param policy - the decisions
 * @returns the refusal; undefined if the job is admitted
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
    case 'too_many': return refuseOverloaded('too many jobs wait', job, load, policy)
    case 'too_late': return refuseOverloaded(`the jobs ahead take about ${Math.round(admission.waitMs)} ms`, job, load, policy)
    default: return assertNever(admission)
  }
}

/**
 * Finds the waiting jobs to shed because they cannot start in time. A job that is
 * shed does not count as work ahead of the jobs behind it.
 *
 * @param jobs - all waiting jobs, in the order in which they are sent
 * @param now - in ms, on the clock of the jobs' times
 * @param load - load of the service at this entry
 * @param policy - the decisions
 * @returns the jobs with their refusals
 */
export const findJobsToShed = (jobs: LeasedJob[], now: number, load: LoadView, policy: Pick<Policy, 'giveUp' | 'retryAfter'>): Array<{ job: LeasedJob, end: LeasedJobEnd }> => {
  let all = 0
  const ownWork = new Map<number, number>()
  return jobs.flatMap((job) => {
    const own = ownWork.get(job.priority) ?? 0
    const waitMs = forecastWait({ all, own }, job.priority, load)
    if (policy.giveUp(job, now, waitMs)) return [{ job, end: refuseOverloaded(`no room in time: about ${Math.round(waitMs)} ms more`, job, load, policy) }]
    const work = queuedWork(job)
    all += work
    ownWork.set(job.priority, own + work)
    return []
  })
}
