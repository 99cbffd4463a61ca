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

interface Place {
  zone?: string
  /** Tasks that the agent has told room for. */
  rooms: number
  slowness?: number
  /** When its last frame was read, in ms before now. */
  agoMs?: number
}

const agentOf = (agentId: string, { zone = 'here', rooms, slowness = 1, agoMs = 0 }: Place, now: number): LeasedAgent => {
  const agent = new LeasedAgent(create(HelloSchema, { agentId, incarnation: agentId, zone }))
  agent.connect({ add: () => {}, acknowledge: () => {}, close: () => {} }, now - agoMs)
  agent.isResumed = true
  agent.slowness = slowness
  agent.setEndpoint(create(EndpointStateSchema, { service: 's', incarnation: agentId, capacity: { cpuMilli: 10 * TASK_CPU, memoryMb: 9999 } }))
  agent.setFreeCapacity(create(RoomSchema, { cpuMilli: rooms * TASK_CPU, memoryMb: 9999 }))
  return agent
}

/** First numbers of neighbouring seeds are alike; far ones are not. */
const SEED_STEP = 0x9E3779B1

const fleetOf = (places: Record<string, Place>, seed = 1): LeasedFleet => {
  const clock = createFakeClock()
  const fleet = new LeasedFleet({ clock, random: seededRandom(Math.imul(seed, SEED_STEP)), zone: 'here', maxEjectedShare: 0.4, ejectionBackoff: () => 1000 })
  for (const [id, place] of Object.entries(places)) {
    fleet.agents.set(id, agentOf(id, place, clock.now()))
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
  const cases: Array<{ name: string, places: Record<string, Place>, expected: string | undefined }> = [
    { name: 'nowhere without room', places: { a: { rooms: 0 } }, expected: undefined },
    { name: 'to the only one with room', places: { a: { rooms: 0 }, b: { rooms: 1 } }, expected: 'b' },
    { name: 'to its own availability zone', places: { a: { rooms: 5, zone: 'there' }, b: { rooms: 5 } }, expected: 'b' },
    { name: 'elsewhere rather than to a last place', places: { a: { rooms: 1 }, b: { rooms: 5, zone: 'there' } }, expected: 'b' },
    { name: 'not to a last place that was told a while ago', places: { a: { rooms: 1, agoMs: 20 } }, expected: undefined },
    { name: 'to an agent that has told much room a while ago', places: { a: { rooms: 5, agoMs: 100 } }, expected: 'a' },
    { name: 'not to an agent that has been silent', places: { a: { rooms: 5, agoMs: 500 } }, expected: undefined },
    { name: 'to a last place rather than to a slow endpoint', places: { a: { rooms: 1 }, b: { rooms: 5, slowness: 1.5 } }, expected: 'a' }
  ]
  it.each(cases)('$name', ({ places, expected }) => {
    expect(fleetOf(places).choose(JOB, 0)?.agentId).toBe(expected)
  })

  it('entries with the same view do not all choose the same agent', () => {
    const places = Object.fromEntries(Array.from({ length: 10 }, (_, index) => [`a${index}`, { rooms: 5 }]))
    const chosen = new Set(Array.from({ length: 10 }, (_, seed) => fleetOf(places, seed).choose(JOB, 0)!.agentId))
    expect(chosen.size).toBeGreaterThan(4)
  })

  it('the roomier one of two is taken', () => {
    const places = { full: { rooms: 2 }, empty: { rooms: 9 } }
    const chosen = Array.from({ length: 100 }, (_, seed) => fleetOf(places, seed).choose(JOB, 0)!.agentId)
    expect(chosen.filter((id) => id === 'empty').length).toBeGreaterThan(60)
  })

  const nearCases = [
    { name: 'stay together at an agent that has room left', rooms: 5, expected: 'near' },
    { name: 'do not take its last place', rooms: 1, expected: 'other' }
  ]
  it.each(nearCases)('tasks of one job $name', ({ rooms, expected }) => {
    const fleet = fleetOf({ near: { rooms }, other: { rooms: 9 } })
    expect(fleet.choose(JOB, 1, { preferred: fleet.agents.get('near') })!.agentId).toBe(expected)
  })
})
