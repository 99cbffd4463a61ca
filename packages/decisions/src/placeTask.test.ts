import { describe, expect, it } from 'vitest'
import { jobView, placeView } from '../tests/views.js'
import { placeTask } from './placeTask.js'
import type { PlaceContext, PlaceView } from './placeTask.js'

type Agents = Record<string, Parameters<typeof placeView>[0]>
type NamedAgent = PlaceView & { id: string }

const NOW = 0
const choose = (agents: Agents, { ejected = [], avoided = [], preferred, random = () => 0 }: { ejected?: string[], avoided?: string[], preferred?: string, random?: () => number } = {}): string | undefined => {
  const named: NamedAgent[] = Object.entries(agents).map(([id, agent]) => ({ id, ...placeView(agent) }))
  const context: PlaceContext<NamedAgent> = {
    now: NOW,
    zone: 'here',
    random,
    maySend: ({ id }) => !ejected.includes(id),
    isAvoided: ({ id }) => avoided.includes(id),
    preferred: named.find(({ id }) => id === preferred)
  }
  return placeTask(named, jobView(), context)?.id
}

describe('placeTask', () => {
  const cases: Array<{ name: string, agents: Agents, ejected?: string[], avoided?: string[], preferred?: string, expected: string | undefined }> = [
    { name: 'without free capacity the task waits', agents: { a: { slots: 0 } }, expected: undefined },
    { name: 'an agent of the own availability zone is chosen before one elsewhere', agents: { a: { zone: 'there' }, b: {} }, expected: 'b' },
    { name: 'another zone is better than a last slot', agents: { a: { slots: 1 }, b: { zone: 'there' } }, expected: 'b' },
    { name: 'a last slot that was not reported recently is not used', agents: { a: { slots: 1, receivedAt: -20 } }, expected: undefined },
    { name: 'an agent that has been silent gets nothing', agents: { a: { receivedAt: -500 } }, expected: undefined },
    { name: 'an ejected endpoint gets nothing', agents: { a: {} }, ejected: ['a'], expected: undefined },
    { name: 'an agent where a run of the task has failed is avoided', agents: { a: {}, b: { zone: 'there' } }, avoided: ['a'], expected: 'b' },
    { name: 'a last slot is better than a slow endpoint', agents: { a: { slots: 1 }, b: { slowness: 1.5 } }, expected: 'a' },
    { name: 'a task waits if the only endpoint is too slow for an answer of use', agents: { a: { slowness: 7 } }, expected: undefined },
    { name: 'of equal agents the preferred one is chosen', agents: { a: {}, b: {} }, preferred: 'b', expected: 'b' }
  ]
  it.each(cases)('$name', ({ agents, ejected, avoided, preferred, expected }) => {
    expect(choose(agents, { ejected, avoided, preferred })).toBe(expected)
  })

  it('of two equal agents the one with more free capacity is chosen', () => {
    const draws = [0, 0.9]
    expect(choose({ full: { slots: 2 }, empty: { slots: 9 } }, { random: () => draws.shift()! })).toBe('empty')
  })
})
