/**
 * Reasons of refusals, failures and retries, the same in errors, logs, metrics and documentation.
 */
export const REASONS = {
  // Requests
  badRequest: 'bad_request',
  bodyTooLarge: 'body_too_large',
  unauthorized: 'unauthorized',
  forbidden: 'forbidden',
  notFound: 'not_found',
  methodNotAllowed: 'method_not_allowed',
  idConflict: 'id_conflict',
  versionConflict: 'version_conflict',
  badPolicy: 'bad_policy',
  // Admission
  notReady: 'not_ready',
  stopping: 'stopping',
  noEndpoint: 'no_endpoint',
  deadlineUnreachable: 'deadline_unreachable',
  queueFull: 'queue_full',
  workspaceQueueFull: 'workspace_queue_full',
  workspaceRate: 'workspace_rate',
  policyDenied: 'policy_denied',
  policyFailed: 'policy_failed',
  storeDown: 'store_down',
  ownerUnreachable: 'owner_unreachable',
  // Failures of a job
  deadline: 'deadline',
  cancelled: 'cancelled',
  taskFailed: 'task_failed',
  agentLost: 'agent_lost',
  ownerLost: 'owner_lost',
  /** One of its tasks crashes every endpoint that runs it. */
  taskCrashesEndpoints: 'task_crashes_endpoints',
  takenOver: 'taken_over',
  stopCut: 'stop_cut',
  answerUnsaved: 'answer_unsaved',
  // How an attempt ended at an agent
  endpointError: 'endpoint_error',
  endpointReset: 'endpoint_reset',
  endpointRefused: 'endpoint_refused',
  endpointGone: 'endpoint_gone',
  /** The endpoint process ended without announcing that it leaves. */
  endpointCrashed: 'endpoint_crashed',
  /** The same, before it had confirmed that the task began: it may not have begun. */
  endpointCrashedAtStart: 'endpoint_crashed_at_start',
  badAnswer: 'bad_answer',
  leaseExpired: 'lease_expired',
  revoked: 'revoked',
  /** The run takes far longer than others of its kind, and its task is to run elsewhere. */
  moved: 'moved',
  staleStart: 'stale_start',
  duplicateStart: 'duplicate_start',
  noSlot: 'no_slot',
  lostStart: 'lost_start',
  /** The task is done, but the agent no longer has its answer. */
  answerDropped: 'answer_dropped',
  /** The endpoint did not answer the start order, which has since been confirmed void. */
  orderUnanswered: 'order_unanswered',
  /** The endpoint rejected the start. */
  endpointBusy: 'endpoint_busy',
  /** The operator has evacuated the endpoint's availability zone. */
  zoneEvacuated: 'zone_evacuated',
  // Ephemeral jobs
  notKept: 'not_kept',
  unsupported: 'unsupported',
  noConfig: 'no_config',
  overload: 'overload',
  callerGone: 'caller_gone',
  /** The entry that a job was handed on to was lost or ended it unfinished; none of its tasks run any more. */
  handOnLost: 'hand_on_lost',
  internal: 'internal'
} as const
/** One of {@link REASONS}. */
export type Reason = typeof REASONS[keyof typeof REASONS]
