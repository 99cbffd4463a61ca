import { create } from '@bufbuild/protobuf'
import { CONFIG_KINDS, compilePolicy } from '@hazellift/coordination'
import type { ConfigEdit, ConfigFault, WorkspaceConfig } from '@hazellift/coordination'
import {
  ChangeListSchema, ConfigAcceptedSchema, PolicyRecordSchema, PolicySpecSchema, REASONS, RUN_STATES, TOKEN_ROLES,
  WorkspaceListSchema, WorkspaceRecordSchema, WorkspaceSpecSchema, WorkspaceViewSchema
} from '@hazellift/protocol'
import type { ConfigChange, TokenRecord, TokenSpec, WorkspaceRecord, WorkspaceView } from '@hazellift/protocol'
import { ulid } from 'ulid'
import { authenticate, authenticateAdmin, hashToken } from './authenticate.js'
import { isWorkspaceName } from './checkJobSpec.js'
import type { ApiContext, ApiHandler, ApiRequest } from './apiContext.js'
import { notRunError } from './httpError.js'
import type { HttpError } from './httpError.js'
import { readMessage, readMs } from './readMessage.js'
import { sendError, sendMessage } from './reply.js'

const MIN_TOKEN_LENGTH = 12
const MAX_PROPAGATION_WAIT_MS = 60_000
const MAX_HISTORY_CHANGES = 1000
const STORE_RETRY_MS = 1000
const ROLES: readonly string[] = Object.values(TOKEN_ROLES)

const authenticateOperator = (context: ApiContext, request: ApiRequest): WorkspaceConfig | undefined => {
  const { configWatch: watch, settings } = context
  const auth = authenticate(request.req, watch, request.params['workspace'] ?? '', TOKEN_ROLES.operator, settings.adminToken)
  if (auth.ok) return auth.value.config
  sendError(request.res, auth.err)
  return undefined
}

const toView = ({ name, version, weight, maxRunning, maxQueued, maxRate, tokens }: WorkspaceRecord): WorkspaceView =>
  create(WorkspaceViewSchema, {
    name, version, weight, maxRunning, maxQueued, maxRate, tokens: tokens.map(({ name, role }) => ({ name, role }))
  })

const checkTokens = (tokens: TokenSpec[]): string | undefined => {
  for (const { name, role, token } of tokens) {
    if (!isWorkspaceName(name)) return `'${name}' is not a name of a token`
    if (!ROLES.includes(role)) return `the role of token '${name}' must be one of ${ROLES.join(', ')}`
    if (token !== '' && token.length < MIN_TOKEN_LENGTH) return `token '${name}' is shorter than ${MIN_TOKEN_LENGTH} characters`
  }
  const names = new Set(tokens.map(({ name }) => name))
  return names.size < tokens.length ? 'two tokens have the same name' : undefined
}

/** A token left empty keeps the value it has. */
const toTokenRecords = (tokens: TokenSpec[], previous: TokenRecord[]): TokenRecord[] => tokens.map(({ name, role, token }) => {
  const previousHash = previous.find((record) => record.name === name)?.sha256 ?? ''
  return { name, role, sha256: token === '' ? previousHash : hashToken(token) } as TokenRecord
})

const conflictError = (seenVersion: bigint, currentVersion: bigint): HttpError => ({
  ...notRunError(REASONS.versionConflict, `made from version ${seenVersion}, but version ${currentVersion} is in force`),
  seenVersion,
  currentVersion
})

const configErrorOf = (fault: ConfigFault): HttpError => {
  switch (fault.type) {
    case 'conflict': return conflictError(fault.seenVersion, fault.currentVersion)
    case 'unavailable': return {
      reason: REASONS.storeDown, message: fault.message, run: RUN_STATES.mayHaveRun, retryAfterMs: STORE_RETRY_MS
    }
  }
}

/** Writes a change and tells the caller where it is in force. */
export const saveConfigChange = async (context: ApiContext, { res, query }: ApiRequest, edit: ConfigEdit): Promise<void> => {
  const waitMs = readMs(query['waitMs'], 0, MAX_PROPAGATION_WAIT_MS)
  if (!waitMs.ok) return sendError(res, waitMs.err)
  const result = await context.configStore.put(edit)
  context.metrics.configChanges.inc({ outcome: result.ok ? 'accepted' : result.err.type })
  if (!result.ok) return sendError(res, configErrorOf(result.err))
  const propagation = await context.configPropagation.propagate(result.value, waitMs.value)
  sendMessage(res, 200, ConfigAcceptedSchema, create(ConfigAcceptedSchema, { version: result.value, ...propagation }))
}

/** Creates or changes a workspace. */
export const putWorkspace: ApiHandler = async (context, request) => {
  const { req, res, params } = request
  const auth = authenticateAdmin(req, context.settings.adminToken)
  if (!auth.ok) return sendError(res, auth.err)
  const name = params['workspace'] ?? ''
  if (!isWorkspaceName(name)) return sendError(res, notRunError(REASONS.badRequest, `'${name}' is not a name of a workspace`))
  const spec = await readMessage(context, request, WorkspaceSpecSchema)
  if (!spec.ok) return sendError(res, spec.err)
  const { weight, maxRunning, maxQueued, maxRate, tokens, seenVersion, operationId } = spec.value
  const previousTokens = context.configWatch.find(name)?.record.tokens ?? []
  const records = toTokenRecords(tokens, previousTokens)
  const fault = checkTokens(tokens) ??
    (weight < 0 || maxRate < 0 ? 'weight and maxRate must not be negative' : undefined) ??
    (records.some(({ sha256 }) => sha256 === '') ? 'a new token needs a value' : undefined)
  if (fault !== undefined) return sendError(res, notRunError(REASONS.badRequest, fault))
  const record = create(WorkspaceRecordSchema, { name, weight, maxRunning, maxQueued, maxRate, tokens: records })
  await saveConfigChange(context, request, { kind: CONFIG_KINDS.workspace, name, seenVersion, operationId: operationId || ulid(), record })
}

/** Shows a workspace. */
export const getWorkspace: ApiHandler = (context, request) => {
  const config = authenticateOperator(context, request)
  if (config !== undefined) sendMessage(request.res, 200, WorkspaceViewSchema, toView(config.record))
}

/** Lists all workspaces, for the administrator. */
export const listWorkspaces: ApiHandler = ({ settings, configWatch: watch }, { req, res }) => {
  const auth = authenticateAdmin(req, settings.adminToken)
  if (!auth.ok) return sendError(res, auth.err)
  const workspaces = watch.workspaceNames.map((name) => toView(watch.find(name)!.record))
  sendMessage(res, 200, WorkspaceListSchema, create(WorkspaceListSchema, { workspaces }))
}

/** Puts a workspace's policy in force, if it compiles. */
export const putPolicy: ApiHandler = async (context, request) => {
  const config = authenticateOperator(context, request)
  if (config === undefined) return
  const spec = await readMessage(context, request, PolicySpecSchema)
  if (!spec.ok) return sendError(request.res, spec.err)
  const compiled = compilePolicy(spec.value)
  if (!compiled.ok) {
    const message = `the policy does not compile: ${compiled.err.length} fault(s); the old one stays in force`
    return sendError(request.res, { ...notRunError(REASONS.badPolicy, message), faults: compiled.err })
  }
  const name = config.record.name
  const { admit, reason, priority, running, queued, rate, retries, seenVersion, operationId } = spec.value
  const record = create(PolicyRecordSchema, { workspace: name, admit, reason, priority, running, queued, rate, retries })
  await saveConfigChange(context, request, { kind: CONFIG_KINDS.policy, name, seenVersion, operationId: operationId || ulid(), record })
}

/** Shows a workspace's policy. */
export const getPolicy: ApiHandler = (context, request) => {
  const config = authenticateOperator(context, request)
  if (config === undefined) return
  const record = config.policy ?? create(PolicyRecordSchema, { workspace: config.record.name })
  sendMessage(request.res, 200, PolicyRecordSchema, record)
}

const withoutHashes = (change: ConfigChange): ConfigChange => {
  for (const token of change.workspace?.tokens ?? []) token.sha256 = ''
  return change
}

/** Lists the accepted changes of one workspace, newest last. */
export const getHistory: ApiHandler = async (context, request) => {
  const config = authenticateOperator(context, request)
  if (config === undefined) return
  const changes = await context.configStore.changesAfter(0n, MAX_HISTORY_CHANGES)
  if (!changes.ok) {
    return sendError(request.res, { ...notRunError(REASONS.storeDown, changes.err.message), retryAfterMs: STORE_RETRY_MS })
  }
  const own = changes.value.filter(({ kind, name }) => kind !== CONFIG_KINDS.zone && name === config.record.name).map(withoutHashes)
  sendMessage(request.res, 200, ChangeListSchema, create(ChangeListSchema, { changes: own }))
}
