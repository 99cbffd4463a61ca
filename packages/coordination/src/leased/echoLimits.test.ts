import { create } from '@bufbuild/protobuf'
import { HelloSchema } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { EchoLimits } from './echoLimits.js'
import type { OriginEntry } from './echoLimits.js'
import { LeasedAgent } from './leasedAgent.js'
import { createLeasedJob } from './leasedJob.js'
import type { LeasedJob } from './leasedJob.js'

/** The agent's clock is this much ahead of the entry's. */
const CLOCK_AHEAD_MS = 10_000

const jobOf = (originEntry: OriginEntry | undefined): LeasedJob => createLeasedJob({
  workspace: 'w', id: 'j', requestId: '', service: 's', payload: '', count: 1, need: { cpuMilli: 1, memoryMb: 1 }, estimateMs: 1, kind: 'k', priority: 0, attempts: 1, objective: { stretch: 1, slackMs: 0, lateFactor: 1 }, deadlineMs: 1000, originEntry
}, 0, 1, () => {})

/** An entry that has read frames of an agent at these moments. */
const receiveFrames = (times: number[], { hasOrigin = true } = {}) => {
  const limits = new EchoLimits()
  const originEntry: OriginEntry = { aliveAt: -Infinity }
  if (hasOrigin) limits.addOrigin(originEntry)
  const agent = new LeasedAgent(create(HelloSchema, { agentId: 'a', incarnation: 'i', zone: 'z' }))
  for (const at of times) {
    agent.stampMs = at + CLOCK_AHEAD_MS
    limits.onStamp(agent, at)
  }
  return { limits, originEntry, agent }
}

describe('echoes while jobs of other entries may run', () => {
  const echoCases: Array<{ name: string, aliveAt: number, isInFlight: boolean, hasOrigin?: boolean, now?: number, expected: number }> = [
    { name: 'without another entry the latest stamp', aliveAt: -Infinity, isInFlight: false, hasOrigin: false, expected: 300 },
    { name: 'the latest that was read while the other entry surely lived', aliveAt: 250, isInFlight: true, expected: 200 },
    { name: 'read in the same moment counts', aliveAt: 200, isInFlight: true, expected: 200 },
    { name: 'also before anything of it is out, so that it may be', aliveAt: 250, isInFlight: false, expected: 200 },
    { name: 'not for one that is silent, and has nothing there', aliveAt: 250, isInFlight: false, now: 450, expected: 300 },
    { name: 'but for one that is silent and has something there', aliveAt: 250, isInFlight: true, now: 450, expected: 200 },
    { name: 'none for one that was never heard', aliveAt: -Infinity, isInFlight: true, expected: -CLOCK_AHEAD_MS }
  ]
  it.each(echoCases)('$name', ({ aliveAt, isInFlight, hasOrigin = true, now = 300, expected }) => {
    const { limits, originEntry, agent } = receiveFrames([100, 200, 300], { hasOrigin })
    originEntry.aliveAt = aliveAt
    if (isInFlight) agent.sent.set('t', { job: jobOf(originEntry), index: 0, attempt: 0, sentAt: 0, endpointIncarnation: '' })
    expect(limits.stampToEcho(agent, now)).toBe(expected + CLOCK_AHEAD_MS)
  })

  const startCases: Array<{ name: string, aliveAt: number, echoedAt: number, now?: number, isOwn?: boolean, expected: boolean }> = [
    { name: 'a start goes where no later stamp was echoed', aliveAt: 250, echoedAt: 200, expected: true },
    { name: 'not where one was: authority could outlast the other entry', aliveAt: 250, echoedAt: 300, expected: false },
    { name: 'not for an entry that is silent', aliveAt: 250, echoedAt: 200, now: 450, expected: false },
    { name: 'not where nothing was read before', aliveAt: 50, echoedAt: 0, now: 150, expected: false },
    { name: 'this entry\'s own go anywhere', aliveAt: -Infinity, echoedAt: 300, isOwn: true, expected: true }
  ]
  it.each(startCases)('$name', ({ aliveAt, echoedAt, now = 300, isOwn = false, expected }) => {
    const { limits, originEntry, agent } = receiveFrames([100, 200, 300])
    originEntry.aliveAt = aliveAt
    agent.echoedStampMs = echoedAt + CLOCK_AHEAD_MS
    expect(limits.mayStart(jobOf(isOwn ? undefined : originEntry), agent, now)).toBe(expected)
  })

  it('what was echoed once counts for the life of the agent\'s process', () => {
    const { limits, originEntry, agent } = receiveFrames([100, 200, 300])
    limits.removeOrigin(originEntry)
    expect(limits.stampToEcho(agent, 300)).toBe(300 + CLOCK_AHEAD_MS)
    originEntry.aliveAt = 300
    limits.addOrigin(originEntry)
    agent.connect({ add: () => {}, acknowledge: () => {}, close: () => {} }, 310)
    expect(agent.echoedStampMs).toBe(300 + CLOCK_AHEAD_MS)
  })
})
