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
 * Reads and parses the body of a request as a message.
 *
 * @param context - its settings limit the size of bodies
 * @param request - the request
 * @param schema - schema of the message
 * @returns the message, or the error to respond with
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
 * Parses a query parameter that is a whole number of milliseconds.
 *
 * @param text - the parameter, if given
 * @param fallback - the result if it is not given
 * @param max - larger values are reduced to this
 */
export const readMs = (text: string | undefined, fallback: number, max: number): Result<number, HttpError> => {
  if (text === undefined) return ok(fallback)
  if (!/^\d{1,9}$/.test(text)) return fail(notRunError(REASONS.badRequest, `'${text}' is not a number of ms`))
  return ok(Math.min(Number(text), max))
}
