import type { ServerResponse } from 'node:http'
import { create, toJsonString } from '@bufbuild/protobuf'
import type { DescMessage, MessageShape } from '@bufbuild/protobuf'
import { ErrorBodySchema, JOB_STATES, JobAnswerSchema, JobPendingSchema } from '@hazellift/protocol'
import type { JobReply } from '@hazellift/coordination'
import { DEFAULT_STATUS, STATUS_OF_REASON } from './httpError.js'
import type { HttpError } from './httpError.js'

/** Sends a message as a JSON response; fields with default values are written out. */
export const sendMessage = <Desc extends DescMessage>(
  res: ServerResponse, status: number, schema: Desc, message: MessageShape<Desc>, headers: Record<string, string> = {}
): void => {
  res.writeHead(status, { 'content-type': 'application/json', ...headers })
  res.end(toJsonString(schema, message, { alwaysEmitImplicit: true }) + '\n')
}

/** Sends an error as a JSON response. The Retry-After header has whole seconds, so the time is rounded up. */
export const sendError = (res: ServerResponse, err: HttpError): void => {
  const status = STATUS_OF_REASON[err.reason] ?? DEFAULT_STATUS
  const headers: Record<string, string> = {}
  if (err.retryAfterMs) headers['retry-after'] = String(Math.ceil(err.retryAfterMs / 1000))
  sendMessage(res, status, ErrorBodySchema, create(ErrorBodySchema, err), headers)
}

/** Sends the result of a request about a job: its answer, its pending state or a refusal. */
export const sendJobReply = (res: ServerResponse, workspace: string, id: string, reply: JobReply): void => {
  switch (reply.type) {
    case 'answer': return sendMessage(res, 200, JobAnswerSchema, reply.answer)
    case 'pending': {
      const pending = create(JobPendingSchema, { workspace, id, state: JOB_STATES.running })
      return sendMessage(res, 202, JobPendingSchema, pending, { location: `/v1/workspaces/${workspace}/jobs/${id}` })
    }
    case 'refused': return sendError(res, reply)
  }
}
