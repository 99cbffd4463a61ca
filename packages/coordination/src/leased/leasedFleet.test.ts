import { create } from '@bufbuild/protobuf'
import { seededRandom } from '@hazellift/common'
import { EndpointStateSchema, HelloSchema, RoomSchema } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { LeasedAgent } from './leasedAgent.js'
import { LeasedFleet } from './leasedFleet.js'
import { createLeasedJob } from './leasedJob.js'
import type { LeasedJob } from './leasedJob.js'

const TASK_CPU = 1000

interface AgentCase {
  zone?: string
  /** Tasks that the agent has told room for. */
  freeTasks: number
  slowness?: number
  /** When its last frame was read, in ms before now. */
  receivedAgoMs?: number
}

const agentOf = (agentId: string, { zone = 'here', freeTasks, slowness = 1, receivedAgoMs = 0 }: AgentCase, now: number): LeasedAgent => {
  const agent = new LeasedAgent(create(HelloSchema, { agentId, incarnation: agentId, zone }))
  agent.connect({ add: () => {}, acknowledge: () => {}, close: () => {} }, now - receivedAgoMs)
  agent.isResumed = true
  agent.slowness = slowness
  agent.setEndpoint(create(EndpointStateSchema, { service: 's', incarnation: agentId, capacity: { cpuMilli: 10 * TASK_CPU, memoryMb: 9999 } }))
  agent.setFreeCapacity(create(RoomSchema, { cpuMilli: freeTasks * TASK_CPU, memoryMb: 9999 }))
  return agent
}

/** First numbers of neighbouring seeds are alike; far ones are not. */
const SEED_STEP = 0x9E3779B1

const fleetOf = (agents: Record<string, AgentCase>, seed = 1): LeasedFleet => {
  const clock = createFakeClock()
  const fleet = new LeasedFleet({ clock, random: seededRandom(Math.imul(seed, SEED_STEP)), zone: 'here', maxEjectedShare: 0.4, ejectionBackoff: () => 1000 })
  for (const [id, agent] of Object.entries(agents)) {
    fleet.agents.set(id, agentOf(id, agent, clock.now()))
    fleet.serviceOf('s').health.add(id)
  }
  return fleet
}

const JOB: LeasedJob = createLeasedJob({
  workspace: 'w',
  id: 'j',
  requestId: '',
  service: 's',
  payload: '',
  count: 2,
  need: { cpuMilli: TASK_CPU, memoryMb: 1 },
  estimateMs: 0,
  kind: 'k',
  priority: 0,
  attempts: 1,
  objective: { stretch: 2, slackMs: 100, lateFactor: 3 },
  deadlineMs: 5000
}, 0, 100, () => {})

describe('where a task goes', () => {
  const cases: Array<{ name: string, agents: Record<string, AgentCase>, expected: string | undefined }> = [
    { name: 'nowhere without room', agents: { a: { freeTasks: 0 } }, expected: undefined },
    { name: 'to the only one with room', agents: { a: { freeTasks: 0 }, b: { freeTasks: 1 } }, expected: 'b' },
    { name: 'to its own availability zone', agents: { a: { freeTasks: 5, zone: 'there' }, b: { freeTasks: 5 } }, expected: 'b' },
    { name: 'elsewhere rather than to a last place', agents: { a: { freeTasks: 1 }, b: { freeTasks: 5, zone: 'there' } }, expected: 'b' },
    { name: 'not to a last place that was told a while ago', agents: { a: { freeTasks: 1, receivedAgoMs: 20 } }, expected: undefined },
    { name: 'to an agent that has told much room a while ago', agents: { a: { freeTasks: 5, receivedAgoMs: 100 } }, expected: 'a' },
    { name: 'not to an agent that has been silent', agents: { a: { freeTasks: 5, receivedAgoMs: 500 } }, expected: undefined },
    { name: 'to a last place rather than to a slow endpoint', agents: { a: { freeTasks: 1 }, b: { freeTasks: 5, slowness: 1.5 } }, expected: 'a' }
  ]
  it.each(cases)('$name', ({ agents, expected }) => {
    expect(fleetOf(agents).choose(JOB, 0)?.agentId).toBe(expected)
  })

  it('entries with the same view do not all choose the same agent', () => {
    const agents = Object.fromEntries(Array.from({ length: 10 }, (_, index) => [`a${index}`, { freeTasks: 5 }]))
    const chosen = new Set(Array.from({ length: 10 }, (_, seed) => fleetOf(agents, seed).choose(JOB, 0)!.agentId))
    expect(chosen.size).toBeGreaterThan(4)
  })

  it('the roomier one of two is taken', () => {
    const agents = { full: { freeTasks: 2 }, empty: { freeTasks: 9 } }
    const chosen = Array.from({ length: 100 }, (_, seed) => fleetOf(agents, seed).choose(JOB, 0)!.agentId)
    expect(chosen.filter((id) => id === 'empty').length).toBeGreaterThan(60)
  })

  const preferredCases = [
    { name: 'stay together at an agent that has room left', freeTasks: 5, expected: 'preferred' },
    { name: 'do not take its last place', freeTasks: 1, expected: 'other' }
  ]
  it.each(preferredCases)('tasks of one job $name', ({ freeTasks, expected }) => {
    const fleet = fleetOf({ preferred: { freeTasks }, other: { freeTasks: 9 } })
    expect(fleet.choose(JOB, 1, { preferred: fleet.agents.get('preferred') })!.agentId).toBe(expected)
  })
})
