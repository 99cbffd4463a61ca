import { REASONS, RUN_STATES } from '@hazellift/protocol'
import type { PolicyFault, Reason, RunState } from '@hazellift/protocol'

/** A request that is answered with an error. */
export interface HttpError {
  reason: Reason
  message: string
  run: RunState
  retryAfterMs?: number
  seenVersion?: bigint
  currentVersion?: bigint
  faults?: Omit<PolicyFault, '$typeName'>[]
}

/** HTTP status of each reason that a request may be refused with. */
export const STATUS_OF_REASON: Partial<Record<Reason, number>> = {
  [REASONS.badRequest]: 400,
  [REASONS.badPolicy]: 400,
  [REASONS.unauthorized]: 401,
  [REASONS.forbidden]: 403,
  [REASONS.policyDenied]: 403,
  [REASONS.policyFailed]: 403,
  [REASONS.notFound]: 404,
  [REASONS.methodNotAllowed]: 405,
  [REASONS.idConflict]: 409,
  [REASONS.versionConflict]: 409,
  [REASONS.bodyTooLarge]: 413,
  [REASONS.deadlineUnreachable]: 422,
  [REASONS.workspaceQueueFull]: 429,
  [REASONS.workspaceRate]: 429,
  [REASONS.internal]: 500
}

/** Reasons without a status of their own are passing states of the service. */
export const DEFAULT_STATUS = 503

/** An error of a request that ran nothing. */
export const notRunError = (reason: Reason, message: string): HttpError =>
  ({ reason, message, run: RUN_STATES.notRun })
