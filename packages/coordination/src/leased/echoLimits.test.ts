import { create } from '@bufbuild/protobuf'
import { HelloSchema } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { EchoLimits } from './echoLimits.js'
import type { OriginEntry } from './echoLimits.js'
import { LeasedAgent } from './leasedAgent.js'
import { createLeasedJob } from './leasedJob.js'
import type { LeasedJob } from './leasedJob.js'

/** The agent's clock is this much ahead of the entry's. */
const AHEAD_MS = 10_000

const jobOf = (sponsor: OriginEntry | undefined): LeasedJob => createLeasedJob({
  workspace: 'w', id: 'j', requestId: '', service: 's', payload: '', count: 1, need: { cpuMilli: 1, memoryMb: 1 }, estimateMs: 1, kind: 'k', priority: 0, attempts: 1, objective: { stretch: 1, slackMs: 0, lateFactor: 1 }, deadlineMs: 1000, originEntry: sponsor
}, 0, 1, () => {})

/** An entry that has read frames of an agent at these moments. */
const readAt = (moments: number[], { isUsed = true } = {}) => {
  const echoes = new EchoLimits()
  const sponsor: OriginEntry = { aliveAt: -Infinity }
  if (isUsed) echoes.addOrigin(sponsor)
  const agent = new LeasedAgent(create(HelloSchema, { agentId: 'a', incarnation: 'i', zone: 'z' }))
  for (const at of moments) {
    agent.stampMs = at + AHEAD_MS
    echoes.onStamp(agent, at)
  }
  return { echoes, sponsor, agent }
}

describe('echoes while jobs of other entries may run', () => {
  const echoCases: Array<{ name: string, aliveAt: number, isOut: boolean, isUsed?: boolean, now?: number, expected: number }> = [
    { name: 'without another entry the latest stamp', aliveAt: -Infinity, isOut: false, isUsed: false, expected: 300 },
    { name: 'the latest that was read while the other entry surely lived', aliveAt: 250, isOut: true, expected: 200 },
    { name: 'read in the same moment counts', aliveAt: 200, isOut: true, expected: 200 },
    { name: 'also before anything of it is out, so that it may be', aliveAt: 250, isOut: false, expected: 200 },
    { name: 'not for one that is silent, and has nothing there', aliveAt: 250, isOut: false, now: 450, expected: 300 },
    { name: 'but for one that is silent and has something there', aliveAt: 250, isOut: true, now: 450, expected: 200 },
    { name: 'none for one that was never heard', aliveAt: -Infinity, isOut: true, expected: -AHEAD_MS }
  ]
  it.each(echoCases)('$name', ({ aliveAt, isOut, isUsed = true, now = 300, expected }) => {
    const { echoes, sponsor, agent } = readAt([100, 200, 300], { isUsed })
    sponsor.aliveAt = aliveAt
    if (isOut) agent.sent.set('t', { job: jobOf(sponsor), index: 0, attempt: 0, sentAt: 0, endpointIncarnation: '' })
    expect(echoes.stampToEcho(agent, now)).toBe(expected + AHEAD_MS)
  })

  const startCases: Array<{ name: string, aliveAt: number, echoedAt: number, now?: number, isOwn?: boolean, expected: boolean }> = [
    { name: 'a start goes where no later stamp was echoed', aliveAt: 250, echoedAt: 200, expected: true },
    { name: 'not where one was: authority could outlast the other entry', aliveAt: 250, echoedAt: 300, expected: false },
    { name: 'not for an entry that is silent', aliveAt: 250, echoedAt: 200, now: 450, expected: false },
    { name: 'not where nothing was read before', aliveAt: 50, echoedAt: 0, now: 150, expected: false },
    { name: 'this entry\'s own go anywhere', aliveAt: -Infinity, echoedAt: 300, isOwn: true, expected: true }
  ]
  it.each(startCases)('$name', ({ aliveAt, echoedAt, now = 300, isOwn = false, expected }) => {
    const { echoes, sponsor, agent } = readAt([100, 200, 300])
    sponsor.aliveAt = aliveAt
    agent.echoedStampMs = echoedAt + AHEAD_MS
    expect(echoes.mayStart(jobOf(isOwn ? undefined : sponsor), agent, now)).toBe(expected)
  })

  it('what was echoed once counts for the life of the agent\'s process', () => {
    const { echoes, sponsor, agent } = readAt([100, 200, 300])
    echoes.removeOrigin(sponsor)
    expect(echoes.stampToEcho(agent, 300)).toBe(300 + AHEAD_MS)
    sponsor.aliveAt = 300
    echoes.addOrigin(sponsor)
    agent.connect({ add: () => {}, acknowledge: () => {}, close: () => {} }, 310)
    expect(agent.echoedStampMs).toBe(300 + AHEAD_MS)
  })
})
