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
  /** Number of tasks that fit into the free capacity that the agent reported. */
  freeTasks: number
  slowness?: number
  /** Time since its last frame was received. */
  receivedAgoMs?: number
}

const agentOf = (agentId: string, { zone = 'here', freeTasks, slowness = 1, receivedAgoMs = 0 }: AgentCase, now: number): LeasedAgent => {
  const agent = new LeasedAgent(create(HelloSchema, { agentId, incarnation: agentId, zone }), 0)
  agent.connect({ add: () => {}, acknowledge: () => {}, close: () => {} }, now - receivedAgoMs)
  agent.isResumed = true
  agent.slowness = slowness
  agent.setEndpoint(create(EndpointStateSchema, { service: 's', incarnation: agentId, capacity: { cpuMilli: 10 * TASK_CPU, memoryMb: 9999 } }))
  agent.setFreeCapacity(create(RoomSchema, { cpuMilli: freeTasks * TASK_CPU, memoryMb: 9999 }))
  return agent
}

/** Distance between seeds: the first random numbers of adjacent seeds are similar. */
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

describe('choice of an agent for a task', () => {
  const cases: Array<{ name: string, agents: Record<string, AgentCase>, expected: string | undefined }> = [
    { name: 'takes no agent if none has free capacity', agents: { a: { freeTasks: 0 } }, expected: undefined },
    { name: 'takes the only agent with free capacity', agents: { a: { freeTasks: 0 }, b: { freeTasks: 1 } }, expected: 'b' },
    { name: 'takes the agent in the availability zone of the entry of two with the same free capacity', agents: { a: { freeTasks: 5, zone: 'there' }, b: { freeTasks: 5 } }, expected: 'b' },
    { name: 'takes an agent in another zone rather than the last free capacity in this one', agents: { a: { freeTasks: 1 }, b: { freeTasks: 5, zone: 'there' } }, expected: 'b' },
    { name: 'does not take the last free capacity of an agent that reported it 20 ms ago', agents: { a: { freeTasks: 1, receivedAgoMs: 20 } }, expected: undefined },
    { name: 'takes an agent that reported ample free capacity 100 ms ago', agents: { a: { freeTasks: 5, receivedAgoMs: 100 } }, expected: 'a' },
    { name: 'takes no agent that has been silent for 500 ms', agents: { a: { freeTasks: 5, receivedAgoMs: 500 } }, expected: undefined },
    { name: 'takes the last free capacity of an agent rather than a slow endpoint', agents: { a: { freeTasks: 1 }, b: { freeTasks: 5, slowness: 1.5 } }, expected: 'a' }
  ]
  it.each(cases)('$name', ({ agents, expected }) => {
    expect(fleetOf(agents).choose(JOB, 0)?.agentId).toBe(expected)
  })

  it('differs between entries with the same view', () => {
    const agents = Object.fromEntries(Array.from({ length: 10 }, (_, index) => [`a${index}`, { freeTasks: 5 }]))
    const chosen = new Set(Array.from({ length: 10 }, (_, seed) => fleetOf(agents, seed).choose(JOB, 0)!.agentId))
    expect(chosen.size).toBeGreaterThan(4)
  })

  it('prefers the agent with more free capacity', () => {
    const agents = { full: { freeTasks: 2 }, empty: { freeTasks: 9 } }
    const chosen = Array.from({ length: 100 }, (_, seed) => fleetOf(agents, seed).choose(JOB, 0)!.agentId)
    expect(chosen.filter((id) => id === 'empty').length).toBeGreaterThan(60)
  })

  const preferredCases = [
    { name: 'are placed at one agent while it has capacity to spare', freeTasks: 5, expected: 'preferred' },
    { name: 'do not take the last free capacity of that agent', freeTasks: 1, expected: 'other' }
  ]
  it.each(preferredCases)('tasks of one job $name', ({ freeTasks, expected }) => {
    const fleet = fleetOf({ preferred: { freeTasks }, other: { freeTasks: 9 } })
    expect(fleet.choose(JOB, 1, { preferred: fleet.agents.get('preferred') })!.agentId).toBe(expected)
  })
})
