import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { fail, ok } from '@hazellift/common'
import type { Result } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import type { ApiContext, ApiRequest } from './apiContext.js'
import { notRunError } from './httpError.js'
import type { HttpError } from './httpError.js'
import { parseJson } from './parseJson.js'
import { readBody } from './readBody.js'

/**
 * Reads a request's body as a message.
 *
 * @param context - for the bound of bodies
 * @param request - the request
 * @param schema - the message
 */
export const readMessage = async <Desc extends DescMessage>(
  { settings }: ApiContext, { req }: ApiRequest, schema: Desc
): Promise<Result<MessageShape<Desc>, HttpError>> => {
  const body = await readBody(req, settings.maxBodyBytes)
  if (!body.ok && body.err === 'too_large') {
    return fail(notRunError(REASONS.bodyTooLarge, `the body is larger than ${settings.maxBodyBytes} bytes`))
  }
  if (!body.ok) return fail(notRunError(REASONS.badRequest, 'the body was cut off'))
  const message = parseJson(schema, body.value)
  return message.ok ? ok(message.value) : fail(notRunError(REASONS.badRequest, message.err))
}

/**
 * Reads a whole number of ms from the query.
 *
 * @param text - the parameter, if given
 * @param fallback - its value if not
 * @param max - longer ones are cut to this
 */
export const readMs = (text: string | undefined, fallback: number, max: number): Result<number, HttpError> => {
  if (text === undefined) return ok(fallback)
  if (!/^\d{1,9}$/.test(text)) return fail(notRunError(REASONS.badRequest, `'${text}' is not a number of ms`))
  return ok(Math.min(Number(text), max))
}
