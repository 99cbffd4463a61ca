import { REASONS, RUN_STATES } from '@hazellift/protocol'
import type { PolicyFault, Reason, RunState } from '@hazellift/protocol'

/** An error that a request is answered with. */
export interface HttpError {
  reason: Reason
  message: string
  run: RunState
  retryAfterMs?: number
  seenVersion?: bigint
  currentVersion?: bigint
  faults?: Omit<PolicyFault, '$typeName'>[]
}

/** HTTP status by reason; other reasons have `DEFAULT_STATUS`. */
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

/** Status of all other reasons, which are temporary states of the service. */
export const DEFAULT_STATUS = 503

/** Creates the error of a request that has run nothing. */
export const notRunError = (reason: Reason, message: string): HttpError =>
  ({ reason, message, run: RUN_STATES.notRun })
