import { create } from '@bufbuild/protobuf'
import { HelloSchema } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { EchoLimits } from './echoLimits.js'
import type { OriginEntry } from './echoLimits.js'
import { LeasedAgent } from './leasedAgent.js'
import { createLeasedJob } from './leasedJob.js'
import type { LeasedJob } from './leasedJob.js'

/** How far the agent's clock is ahead of the entry's. */
const CLOCK_AHEAD_MS = 10_000

const jobOf = (originEntry: OriginEntry | undefined): LeasedJob => createLeasedJob({
  workspace: 'w', id: 'j', requestId: '', service: 's', payload: '', count: 1, need: { cpuMilli: 1, memoryMb: 1 }, estimateMs: 1, kind: 'k', priority: 0, attempts: 1, objective: { stretch: 1, slackMs: 0, lateFactor: 1 }, deadlineMs: 1000, originEntry
}, 0, 1, () => {})

/** Limits at an entry that received frames of an agent at the given times. */
const receiveFrames = (times: number[], { hasOrigin = true } = {}) => {
  const limits = new EchoLimits()
  const originEntry: OriginEntry = { aliveAt: -Infinity }
  if (hasOrigin) limits.addOrigin(originEntry)
  const agent = new LeasedAgent(create(HelloSchema, { agentId: 'a', incarnation: 'i', zone: 'z' }), 0)
  for (const at of times) {
    agent.stampMs = at + CLOCK_AHEAD_MS
    limits.onStamp(agent, at)
  }
  return { limits, originEntry, agent }
}

describe('timestamps echoed while jobs of other entries may run', () => {
  const echoCases: Array<{ name: string, aliveAt: number, isInFlight: boolean, hasOrigin?: boolean, now?: number, expected: number }> = [
    { name: 'the latest is echoed without an origin entry', aliveAt: -Infinity, isInFlight: false, hasOrigin: false, expected: 300 },
    { name: 'the latest received by the time the origin entry was known alive is echoed', aliveAt: 250, isInFlight: true, expected: 200 },
    { name: 'one received at that very time is echoed', aliveAt: 200, isInFlight: true, expected: 200 },
    { name: 'the limit applies before a run of the origin entry is in flight, so that one can start', aliveAt: 250, isInFlight: false, expected: 200 },
    { name: 'a silent origin entry without a run in flight sets no limit', aliveAt: 250, isInFlight: false, now: 450, expected: 300 },
    { name: 'a silent origin entry with a run in flight sets a limit', aliveAt: 250, isInFlight: true, now: 450, expected: 200 },
    { name: 'none is echoed with a run in flight of an origin entry never known alive', aliveAt: -Infinity, isInFlight: true, expected: -CLOCK_AHEAD_MS }
  ]
  it.each(echoCases)('$name', ({ aliveAt, isInFlight, hasOrigin = true, now = 300, expected }) => {
    const { limits, originEntry, agent } = receiveFrames([100, 200, 300], { hasOrigin })
    originEntry.aliveAt = aliveAt
    if (isInFlight) agent.sent.set('t', { job: jobOf(originEntry), index: 0, attempt: 0, sentAt: 0, endpointIncarnation: '', endpointAddress: '' })
    expect(limits.stampToEcho(agent, now)).toBe(expected + CLOCK_AHEAD_MS)
  })

  const startCases: Array<{ name: string, aliveAt: number, echoedAt: number, now?: number, isOwn?: boolean, expected: boolean }> = [
    { name: 'a job may start where no later timestamp was echoed', aliveAt: 250, echoedAt: 200, expected: true },
    { name: 'a job may not start where a later timestamp was echoed: its entry lease could outlast the origin entry', aliveAt: 250, echoedAt: 300, expected: false },
    { name: 'a job of a silent origin entry may not start', aliveAt: 250, echoedAt: 200, now: 450, expected: false },
    { name: 'a job may not start where no timestamp was received before the origin entry was known alive', aliveAt: 50, echoedAt: 0, now: 150, expected: false },
    { name: 'a job of this entry itself may start anywhere', aliveAt: -Infinity, echoedAt: 300, isOwn: true, expected: true }
  ]
  it.each(startCases)('$name', ({ aliveAt, echoedAt, now = 300, isOwn = false, expected }) => {
    const { limits, originEntry, agent } = receiveFrames([100, 200, 300])
    originEntry.aliveAt = aliveAt
    agent.echoedStampMs = echoedAt + CLOCK_AHEAD_MS
    expect(limits.mayStart(jobOf(isOwn ? undefined : originEntry), agent, now)).toBe(expected)
  })

  it('the highest echoed timestamp is kept when the agent process reconnects', () => {
    const { limits, originEntry, agent } = receiveFrames([100, 200, 300])
    limits.removeOrigin(originEntry)
    expect(limits.stampToEcho(agent, 300)).toBe(300 + CLOCK_AHEAD_MS)
    originEntry.aliveAt = 300
    limits.addOrigin(originEntry)
    agent.connect({ add: () => {}, acknowledge: () => {}, close: () => {} }, 310)
    expect(agent.echoedStampMs).toBe(300 + CLOCK_AHEAD_MS)
  })
})
