import { ResponseTimes } from '@hazellift/coordination'
import type { PollOutcome, LeasedEndpoint, StartOutcome } from '@hazellift/coordination'
import type { LabEndpoint } from './labEndpoint.js'
import type { LabProcess } from './labProcess.js'

/** CPU time at the agent to send a call, and again to read its answer, in ms; the same as for the platform's endpoint client. */
const CALL_CPU_MS = 0.08
/** One-way delay between an agent and its endpoint. */
const ONE_WAY_MS = 0.3

/**
 * An agent's client of one incarnation of its endpoint, with timeouts that adapt to response times.
 *
 * @param process - the agent's process
 * @param endpoint - the incarnation that is called
 * @param onUnanswered - called for each call without an answer in time, which costs a connection
 */
export const createLabEndpointClient = (process: LabProcess, endpoint: LabEndpoint, onUnanswered: () => void): LeasedEndpoint => {
  const times = new ResponseTimes()

  const call = <T>(unanswered: T, waitMs: number, send: (answer: (outcome: T) => void) => void): Promise<T> => new Promise((resolve) => {
    const sentAt = process.clock.now()
    let isLate = false
    const cancelLimit = process.clock.after(waitMs + times.limitMs, () => {
      isLate = true
      times.onLost()
      onUnanswered()
      resolve(unanswered)
    })
    const onAnswer = (outcome: T): void => process.execute(CALL_CPU_MS, () => {
      cancelLimit()
      const ms = process.clock.now() - sentAt
      if (ms >= waitMs) times.observe(ms - waitMs)
      if (!isLate) resolve(outcome)
    })
    process.execute(CALL_CPU_MS, () => {
      process.clock.after(ONE_WAY_MS, () => send((outcome) => process.clock.after(ONE_WAY_MS, () => onAnswer(outcome))))
    })
  })

  return {
    start: (order) => call<StartOutcome>({ type: 'unknown' }, 0, (answer) => endpoint.start(order, process.clock.now(), answer)),
    stop: (run) => call(false, 0, (answer) => endpoint.stop(run, answer)),
    poll: (request) => call<PollOutcome>({ type: 'unknown' }, request.waitMs, (answer) => endpoint.poll(request, process.clock.now(), answer))
  }
}
