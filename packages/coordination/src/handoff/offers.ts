import { create } from '@bufbuild/protobuf'
import { HandOnOfferSchema } from '@hazellift/protocol'
import type { HandOnOffer } from '@hazellift/protocol'
import type { OriginEntry } from '../leased/echoLimits.js'
import type { LeasedJobSpec } from '../leased/leasedJob.js'

/**
 * What is left of a job for which time has passed since it arrived.
 *
 * @param spec - as it arrived
 * @param elapsedMs - since then
 */
export const remainingSpec = (spec: LeasedJobSpec, elapsedMs: number): LeasedJobSpec => ({
  ...spec,
  objective: { ...spec.objective, slackMs: spec.objective.slackMs - elapsedMs },
  deadlineMs: Math.max(0, spec.deadlineMs - elapsedMs)
})

/** A job as the message that offers it to another entry. */
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

/** The job that a message offers. */
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
