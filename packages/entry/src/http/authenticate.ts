import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import type { ConfigWatch, WorkspaceConfig } from '@hazellift/coordination'
import { REASONS, TOKEN_ROLES } from '@hazellift/protocol'
import type { TokenRole } from '@hazellift/protocol'
import { notRunError } from './httpError.js'
import type { HttpError } from './httpError.js'

/** The sender of a request and its role in the workspace of the path. */
export interface Caller {
  isAdmin: boolean
  role: TokenRole
}

const BEARER = /^Bearer (.+)$/

/** SHA-256 of a token in hexadecimal, as stored in workspace records. */
export const hashToken = (token: string): string => createHash('sha256').update(token).digest('hex')

const isSameHash = (a: string, b: string): boolean => {
  const [left, right] = [Buffer.from(a), Buffer.from(b)]
  return left.length === right.length && timingSafeEqual(left, right)
}

/** Compares two secrets by their hashes in constant time. */
export const isSameSecret = (a: string, b: string): boolean => isSameHash(hashToken(a), hashToken(b))

const bearerTokenOf = (req: IncomingMessage): string | undefined =>
  BEARER.exec(req.headers.authorization ?? '')?.[1]

const unauthorized = notRunError(REASONS.unauthorized, 'a valid token is needed: Authorization: Bearer <token>')
const workspaceNotFound = notRunError(REASONS.notFound, 'no such workspace')

const findRole = (config: WorkspaceConfig, hash: string): TokenRole | undefined =>
  config.record.tokens.find(({ sha256 }) => isSameHash(sha256, hash))?.role as TokenRole | undefined

/**
 * Checks that a request carries the administrator's token.
 *
 * @param req - the request
 * @param adminToken - the administrator's token from the settings
 * @returns the caller, or the error to respond with
 */
export const authenticateAdmin = (req: IncomingMessage, adminToken: string): Result<Caller, HttpError> => {
  const token = bearerTokenOf(req)
  const isAdmin = token !== undefined && isSameSecret(token, adminToken)
  return isAdmin ? ok({ isAdmin, role: TOKEN_ROLES.operator }) : fail(unauthorized)
}

/**
 * Checks whether the sender of a request may use a workspace. A sender with the token of another
 * workspace does not learn whether this one exists.
 *
 * @param req - the request
 * @param configWatch - the configuration in force
 * @param workspace - name of the workspace in the path
 * @param requiredRole - the role that the request requires
 * @param adminToken - the administrator's token from the settings; it grants all operator requests but no caller requests
 * @returns the caller and the workspace's configuration, or the error to respond with
 */
export const authenticate = (
  req: IncomingMessage, configWatch: ConfigWatch, workspace: string, requiredRole: TokenRole, adminToken: string
): Result<{ caller: Caller, config: WorkspaceConfig }, HttpError> => {
  const admin = authenticateAdmin(req, adminToken)
  const config = configWatch.find(workspace)
  if (admin.ok && requiredRole === TOKEN_ROLES.operator) return config === undefined ? fail(workspaceNotFound) : ok({ caller: admin.value, config })
  const token = bearerTokenOf(req)
  if (token === undefined) return fail(unauthorized)
  const hash = hashToken(token)
  const role = config === undefined ? undefined : findRole(config, hash)
  if (config !== undefined && role !== undefined) {
    const isAllowed = requiredRole === TOKEN_ROLES.caller || role === TOKEN_ROLES.operator
    return isAllowed ? ok({ caller: { isAdmin: false, role }, config }) : fail(notRunError(REASONS.forbidden, `a token with the role ${requiredRole} is needed`))
  }
  const isTokenOfOtherWorkspace = configWatch.workspaceNames.some((name) => findRole(configWatch.find(name)!, hash) !== undefined)
  return fail(isTokenOfOtherWorkspace || admin.ok ? workspaceNotFound : unauthorized)
}
