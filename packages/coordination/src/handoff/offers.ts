import { create } from '@bufbuild/protobuf'
import { HandOnOfferSchema } from '@hazellift/protocol'
import type { HandOnOffer } from '@hazellift/protocol'
import type { OriginEntry } from '../leased/echoLimits.js'
import type { LeasedJobSpec } from '../leased/leasedJob.js'

/**
 * A job's spec with its slack and its deadline reduced by the time since it arrived.
 *
 * @param spec - as the job arrived
 * @param elapsedMs - time since it arrived
 */
export const remainingSpec = (spec: LeasedJobSpec, elapsedMs: number): LeasedJobSpec => ({
  ...spec,
  objective: { ...spec.objective, slackMs: spec.objective.slackMs - elapsedMs },
  deadlineMs: Math.max(0, spec.deadlineMs - elapsedMs)
})

/**
 * Encodes a job as the message that offers it to another entry.
 *
 * @param offer - the number of the offer on its stream
 */
export const encodeOffer = (offer: number, { id, need, objective, ...spec }: LeasedJobSpec): HandOnOffer => create(HandOnOfferSchema, {
  offer,
  workspace: spec.workspace,
  submission: id,
  requestId: spec.requestId,
  service: spec.service,
  payload: spec.payload,
  count: spec.count,
  cpuMilli: Math.round(need.cpuMilli),
  memoryMb: Math.round(need.memoryMb),
  estimateMs: Math.round(spec.estimateMs),
  kind: spec.kind,
  priority: spec.priority,
  attempts: spec.attempts,
  stretch: objective.stretch,
  slackMs: objective.slackMs,
  lateFactor: objective.lateFactor,
  deadlineMs: spec.deadlineMs
})

/**
 * Decodes a job that another entry offers.
 *
 * @param originEntry - the entry that offers it
 */
export const decodeOffer = (offer: HandOnOffer, originEntry: OriginEntry): LeasedJobSpec => ({
  workspace: offer.workspace,
  id: offer.submission,
  requestId: offer.requestId,
  service: offer.service,
  payload: offer.payload,
  count: offer.count,
  need: { cpuMilli: offer.cpuMilli, memoryMb: offer.memoryMb },
  estimateMs: offer.estimateMs,
  kind: offer.kind,
  priority: offer.priority,
  attempts: offer.attempts,
  objective: { stretch: offer.stretch, slackMs: offer.slackMs, lateFactor: offer.lateFactor },
  deadlineMs: offer.deadlineMs,
  originEntry: originEntry
})
