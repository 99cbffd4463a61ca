import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import type { EntryMetrics } from './entryMetrics.js'

/** Kinds of messages on sessions; a frame may carry several. */
export const MESSAGE_KINDS = {
  start: 'start',
  result: 'result',
  /** A frame of its own that only grants credits. */
  grant: 'grant',
  /** A frame of its own that only tells demand. */
  demand: 'demand',
  return: 'return',
  revoke: 'revoke',
  collect: 'collect',
  /** A frame of its own that only tells of a failure of another entry's start. */
  failure: 'failure',
  keepAlive: 'keep_alive'
} as const
type MessageKind = typeof MESSAGE_KINDS[keyof typeof MESSAGE_KINDS]

const count = ({ messages }: EntryMetrics, kind: MessageKind, number: number): void => {
  if (number > 0) messages.inc({ kind }, number)
}

const kindOfFrameWithoutMessages = ({ credits, endsElsewhere }: AgentFrame): MessageKind => {
  if (credits > 0) return MESSAGE_KINDS.grant
  return endsElsewhere !== undefined && endsElsewhere.failed > 0 ? MESSAGE_KINDS.failure : MESSAGE_KINDS.keepAlive
}

/** Counts what an agent sent. Credits that come with a result cost no message. */
export const countAgentFrame = (metrics: EntryMetrics, frame: AgentFrame): void => {
  metrics.frames.inc({ direction: 'in' })
  count(metrics, MESSAGE_KINDS.result, frame.results.length)
  count(metrics, MESSAGE_KINDS.collect, frame.collected.length)
  const hasMessages = frame.results.length + frame.collected.length > 0 || frame.hello !== undefined || frame.resume !== undefined
  if (hasMessages) return
  count(metrics, kindOfFrameWithoutMessages(frame), 1)
}

/** Counts what this entry sends. Demand that travels with a start costs no message. */
export const countEntryFrame = (metrics: EntryMetrics, frame: EntryFrame): void => {
  metrics.frames.inc({ direction: 'out' })
  count(metrics, MESSAGE_KINDS.start, frame.starts.length)
  count(metrics, MESSAGE_KINDS.revoke, frame.revokes.length)
  count(metrics, MESSAGE_KINDS.collect, frame.collects.length)
  count(metrics, MESSAGE_KINDS.return, frame.returnedCredits > 0 ? 1 : 0)
  const hasMessages = frame.starts.length + frame.revokes.length + frame.collects.length + frame.returnedCredits > 0 || frame.welcome !== undefined
  if (hasMessages) return
  count(metrics, frame.demand !== undefined ? MESSAGE_KINDS.demand : MESSAGE_KINDS.keepAlive, 1)
}
