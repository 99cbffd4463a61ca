import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import type { ConfigWatch, WorkspaceConfig } from '@hazellift/coordination'
import { REASONS, TOKEN_ROLES } from '@hazellift/protocol'
import type { TokenRole } from '@hazellift/protocol'
import { notRunError } from './httpError.js'
import type { HttpError } from './httpError.js'

/** Who sends a request, as far as the path concerns. */
export interface Caller {
  isAdmin: boolean
  role: TokenRole
}

const BEARER = /^Bearer (.+)$/

/** SHA-256 of a token, as records keep it. */
export const hashToken = (token: string): string => createHash('sha256').update(token).digest('hex')

const isSameHash = (a: string, b: string): boolean => {
  const [left, right] = [Buffer.from(a), Buffer.from(b)]
  return left.length === right.length && timingSafeEqual(left, right)
}

/** Compares two secrets in constant time. */
export const isSameSecret = (a: string, b: string): boolean => isSameHash(hashToken(a), hashToken(b))

const bearerTokenOf = (req: IncomingMessage): string | undefined =>
  BEARER.exec(req.headers.authorization ?? '')?.[1]

const unauthorized = notRunError(REASONS.unauthorized, 'a valid token is needed: Authorization: Bearer <token>')
const workspaceNotFound = notRunError(REASONS.notFound, 'no such workspace')

const findRole = (config: WorkspaceConfig, hash: string): TokenRole | undefined =>
  config.record.tokens.find(({ sha256 }) => isSameHash(sha256, hash))?.role as TokenRole | undefined

/**
 * Checks that the request carries the administrator's token.
 *
 * @param req - the request
 * @param adminToken - from the settings
 */
export const authenticateAdmin = (req: IncomingMessage, adminToken: string): Result<Caller, HttpError> => {
  const token = bearerTokenOf(req)
  const isAdmin = token !== undefined && isSameSecret(token, adminToken)
  return isAdmin ? ok({ isAdmin, role: TOKEN_ROLES.operator }) : fail(unauthorized)
}

/**
 * Checks a request to a workspace. A token of another workspace learns nothing
 * about this one, not even whether it exists.
 *
 * @param req - the request
 * @param watch - the configuration in force
 * @param workspace - named by the path
 * @param requiredRole - the role that the request needs
 * @param adminToken - from the settings; the administrator may do all but submit
 */
export const authenticate = (
  req: IncomingMessage, watch: ConfigWatch, workspace: string, requiredRole: TokenRole, adminToken: string
): Result<{ caller: Caller, config: WorkspaceConfig }, HttpError> => {
  const admin = authenticateAdmin(req, adminToken)
  const config = watch.find(workspace)
  if (admin.ok && requiredRole === TOKEN_ROLES.operator) return config === undefined ? fail(workspaceNotFound) : ok({ caller: admin.value, config })
  const token = bearerTokenOf(req)
  if (token === undefined) return fail(unauthorized)
  const hash = hashToken(token)
  const role = config === undefined ? undefined : findRole(config, hash)
  if (config !== undefined && role !== undefined) {
    const isAllowed = requiredRole === TOKEN_ROLES.caller || role === TOKEN_ROLES.operator
    return isAllowed ? ok({ caller: { isAdmin: false, role }, config }) : fail(notRunError(REASONS.forbidden, `a token with the role ${requiredRole} is needed`))
  }
  const isTokenOfOtherWorkspace = watch.workspaceNames.some((name) => findRole(watch.find(name)!, hash) !== undefined)
  return fail(isTokenOfOtherWorkspace || admin.ok ? workspaceNotFound : unauthorized)
}
