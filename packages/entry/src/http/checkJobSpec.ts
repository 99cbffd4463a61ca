import { POLICY_LIMITS } from '@hazellift/coordination'
import type { JobSpec } from '@hazellift/protocol'

const WORKSPACE_NAME = /^[a-z0-9][a-z0-9-]{0,62}$/
const JOB_ID = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/
const SERVICE_NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/

/** True for a name that a workspace may have. */
export const isWorkspaceName = (name: string): boolean => WORKSPACE_NAME.test(name)

/** True for an id that a job may have. */
export const isJobId = (id: string): boolean => JOB_ID.test(id)

const checkLabels = (labels: Record<string, string>): string | undefined => {
  const entries = Object.entries(labels)
  if (entries.length > POLICY_LIMITS.maxLabels) return `more than ${POLICY_LIMITS.maxLabels} labels`
  const isLong = entries.some(([name, value]) => Math.max(name.length, value.length) > POLICY_LIMITS.maxLabelLength)
  return isLong ? `a label is longer than ${POLICY_LIMITS.maxLabelLength} characters` : undefined
}

/**
 * Checks a submission's facts against their bounds.
 *
 * @param spec - the submission
 * @param maxTasks - most tasks of one job
 * @param maxDeadlineMs - longest deadline
 * @returns what is wrong, if anything
 */
export const checkJobSpec = (spec: JobSpec, maxTasks: number, maxDeadlineMs: number): string | undefined => {
  if (!isJobId(spec.id)) return 'id must be 1 to 128 letters, digits or ._:- and begin with a letter or digit'
  if (!SERVICE_NAME.test(spec.service)) return 'service must be 1 to 63 lower-case letters, digits or ._-'
  if (spec.tasks.length === 0) return 'a job needs at least one task'
  if (spec.tasks.length > maxTasks) return `a job may have ${maxTasks} tasks, not ${spec.tasks.length}`
  if (spec.deadlineMs > maxDeadlineMs) return `deadlineMs may be ${maxDeadlineMs}, not ${spec.deadlineMs}`
  return checkLabels(spec.labels)
}
