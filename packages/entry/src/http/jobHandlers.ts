import { JobSpecSchema, REASONS, RUN_STATES, TOKEN_ROLES } from '@hazellift/protocol'
import type { JobReply, WorkspaceConfig } from '@hazellift/coordination'
import { authenticate } from './authenticate.js'
import { checkJobSpec, isJobId } from './checkJobSpec.js'
import type { ApiContext, ApiHandler, ApiRequest } from './apiContext.js'
import { notRunError } from './httpError.js'
import type { HttpError } from './httpError.js'
import { readMessage, readMs } from './readMessage.js'
import { sendError, sendJobReply } from './reply.js'

const DEFAULT_WAIT_MS = 30_000

/** Without the configuration the entry does not know whether the submission ran before, so it may have run. */
const notReady: HttpError = {
  reason: REASONS.notReady, message: 'this entry has not read the configuration yet', run: RUN_STATES.mayHaveRun, retryAfterMs: 1000
}

const sendReply = ({ metrics }: ApiContext, { res, params }: ApiRequest, id: string, reply: JobReply): void => {
  if (reply.type === 'refused') metrics.refusals.inc({ reason: reply.reason })
  sendJobReply(res, params['workspace'] ?? '', id, reply)
}

const authenticateCaller = (context: ApiContext, request: ApiRequest): WorkspaceConfig | undefined => {
  const { configWatch, settings, metrics } = context
  if (!configWatch.isLoaded) {
    metrics.refusals.inc({ reason: REASONS.notReady })
    sendError(request.res, notReady)
    return undefined
  }
  const auth = authenticate(request.req, configWatch, request.params['workspace'] ?? '', TOKEN_ROLES.caller, settings.adminToken)
  if (auth.ok) return auth.value.config
  metrics.refusals.inc({ reason: auth.err.reason })
  sendError(request.res, auth.err)
  return undefined
}

const sendJobNotFound = ({ res }: ApiRequest): void =>
  sendError(res, notRunError(REASONS.notFound, 'no such job'))

/** Submits a job, or waits for the existing one if it was submitted before. */
export const submitJob: ApiHandler = async (context, request) => {
  const { settings, metrics, jobs } = context
  const config = authenticateCaller(context, request)
  if (config === undefined) return
  const waitMs = readMs(request.query['waitMs'], DEFAULT_WAIT_MS, settings.maxDeadlineMs)
  if (!waitMs.ok) return sendError(request.res, waitMs.err)
  const spec = await readMessage(context, request, JobSpecSchema)
  if (!spec.ok) {
    metrics.refusals.inc({ reason: spec.err.reason })
    return sendError(request.res, spec.err)
  }
  const fault = checkJobSpec(spec.value, settings.maxTasks, settings.maxDeadlineMs)
  if (fault !== undefined) {
    metrics.refusals.inc({ reason: REASONS.badRequest })
    return sendError(request.res, notRunError(REASONS.badRequest, fault))
  }
  sendReply(context, request, spec.value.id, await jobs.submit(config, spec.value, waitMs.value))
}

/** Returns the answer or state of a job, after a wait for the answer if `waitMs` is given. */
export const getJob: ApiHandler = async (context, request) => {
  const config = authenticateCaller(context, request)
  if (config === undefined) return
  const id = request.params['id'] ?? ''
  if (!isJobId(id)) return sendJobNotFound(request)
  const waitMs = readMs(request.query['waitMs'], 0, context.settings.maxDeadlineMs)
  if (!waitMs.ok) return sendError(request.res, waitMs.err)
  sendReply(context, request, id, await context.jobs.ask(config.record.name, id, waitMs.value))
}

/** Cancels a job and responds with its answer or state. */
export const cancelJob: ApiHandler = async (context, request) => {
  const config = authenticateCaller(context, request)
  if (config === undefined) return
  const id = request.params['id'] ?? ''
  if (!isJobId(id)) return sendJobNotFound(request)
  sendReply(context, request, id, await context.jobs.cancel(config.record.name, id))
}
